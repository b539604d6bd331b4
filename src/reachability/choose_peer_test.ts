import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import { choosePeer, type Peer } from "./choose_peer.ts";

const SERVICE = "s";

function makePeers(
  count: number,
  place: string,
  fields: Partial<Peer> = {},
): Peer[] {
  return Array.from({ length: count }, (_, at) => ({
    vm: `${place}-${fields.cutOffServices ? "cut" : "well"}-${at}`,
    place,
    address: "h:1",
    isReady: true,
    ...fields,
  }));
}

/** Chooses many times; returns how often each peer was chosen. */
function chooseOften(
  gateways: readonly Peer[],
  options: { excluded?: readonly string[]; count?: number } = {},
): Map<string, number> {
  const { number: random } = createRandomSource(1);
  const chosen = new Map<string, number>();
  for (let at = 0; at < (options.count ?? 3_000); at++) {
    const peer = choosePeer(gateways, {
      service: SERVICE,
      self: { vm: "self", place: "a" },
      excluded: new Set(options.excluded),
      getInFlight: (vm) => chosen.get(vm) ?? 0,
      random,
    });
    if (peer) chosen.set(peer.vm, (chosen.get(peer.vm) ?? 0) + 1);
  }
  return chosen;
}

test("a peer in the same data centre that reaches the service is chosen", () => {
  const cut = makePeers(1, "a", { cutOffServices: [SERVICE] });
  const gateways = [...makePeers(3, "a"), ...makePeers(4, "b"), ...cut];
  const chosen = chooseOften(gateways);
  assert.equal([...chosen.keys()].sort(), ["a-well-0", "a-well-1", "a-well-2"]);
});

test("one peer does not take the requests of a whole data centre", () => {
  const cut = makePeers(2, "a", { cutOffServices: [SERVICE] });
  const chosen = chooseOften([
    ...makePeers(1, "a"),
    ...makePeers(4, "b"),
    ...cut,
  ]);
  // Three gateways are cut off there, and one can help: it gets a third.
  assert.ok((chosen.get("a-well-0") ?? 0) < 1_100);
  for (let at = 0; at < 4; at++) {
    assert.ok((chosen.get(`b-well-${at}`) ?? 0) > 400);
  }
});

test("gateways that are cut off, not ready or excluded are never chosen", () => {
  const cut = makePeers(3, "a", { cutOffServices: [SERVICE] });
  const starting = makePeers(1, "b", { isReady: false });
  const well = makePeers(1, "a");
  assert.is(chooseOften([...cut, ...starting]).size, 0);
  assert.is(chooseOften(well, { excluded: ["a-well-0"] }).size, 0);
});

test("a gateway that is cut off from another service is chosen", () => {
  const peers = makePeers(1, "b", { cutOffServices: ["other"] });
  assert.is(chooseOften(peers, { count: 1 }).size, 1);
});

test.run();
