import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { makeEngineView } from "./engine_view.ts";
import { getBackOffWaitMs } from "./get_back_off_wait_ms.ts";

const LAYERS = 8;

function makeView(
  engineId: string,
  [fromLayer, toLayer]: readonly [number, number] = [0, 0],
) {
  const layers = { fromLayer, toLayer };
  return makeEngineView(makeEngineRecord(engineId, { layers }));
}

const LEFT_MS = new Map([["a", 300], ["b", 200], ["c", 900]]);

function getWaitMs(options: {
  readonly usable: ReturnType<typeof makeView>[];
  readonly resting: ReturnType<typeof makeView>[];
  readonly layers?: number;
}): number | undefined {
  const { usable, resting, layers } = options;
  return getBackOffWaitMs({
    engines: { listUsable: () => usable, listBackedOff: () => resting },
    notices: { getBackOffLeftMs: (engineId) => LEFT_MS.get(engineId) ?? 0 },
    service: "s",
    layers,
  });
}

test("if each upstream serves alone, the wait ends with the first back-off", () => {
  const resting = ["a", "b", "c"].map((id) => makeView(id));
  assert.is(getWaitMs({ usable: [], resting }), 200);
});

test("back-offs cause no wait while another upstream takes requests", () => {
  const options = { usable: [makeView("d")], resting: [makeView("a")] };
  assert.is(getWaitMs(options), undefined);
  assert.is(getWaitMs({ usable: [], resting: [] }), undefined);
});

test("the wait ends when upstreams without a back-off hold all layers", () => {
  const resting = [
    makeView("a", [0, 4]),
    makeView("b", [4, 8]),
    makeView("c", [0, 8]),
  ];
  const layers = LAYERS;
  assert.is(getWaitMs({ layers, usable: [], resting }), 300);
  const first = makeView("d", [0, 4]);
  assert.is(getWaitMs({ layers, usable: [first], resting }), 200);
  const [, , whole] = resting;
  const without = { layers, usable: [first], resting: [makeView("a", [0, 4])] };
  assert.is(getWaitMs(without), undefined);
  assert.is(getWaitMs({ layers, usable: [], resting: [whole] }), 900);
});

test.run();
