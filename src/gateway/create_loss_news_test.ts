import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLossNews } from "./create_loss_news.ts";

const GATEWAYS = Array.from({ length: 40 }, (_, at) => ({
  vm: `g${at}`,
  place: at < 20 ? "a" : "b",
  address: `g${at}:1`,
  isReady: true,
}));

function startNews(vm: string, place: string) {
  return createLossNews({ vm, place, listReady: () => GATEWAYS });
}

test("for each engine the gateways of a data centre ask in an order of its own", () => {
  const news = GATEWAYS.slice(0, 20).map(({ vm }) => startNews(vm, "a"));
  const engineIds = Array.from({ length: 200 }, (_, at) => `e${at}`);
  for (const engineId of engineIds) {
    const ranks = news.map((one) => one.getAskerRank(engineId));
    assert.equal(ranks.sort((a, b) => a - b), [...ranks.keys()]);
  }
  const firsts = news.map((one) =>
    engineIds.filter((engineId) => one.getAskerRank(engineId) === 0).length
  );
  assert.ok(Math.max(...firsts) < 25, `${firsts}`);
});

test("what was found lost is told once", () => {
  const news = startNews("g0", "a");
  news.note("e1");
  news.note("e1");
  assert.equal(news.take(), ["e1"]);
  assert.equal(news.take(), []);
});

test("a gateway that isn't known yet asks with the first", () => {
  assert.is(startNews("new", "a").getAskerRank("e1"), 0);
});

test.run();
