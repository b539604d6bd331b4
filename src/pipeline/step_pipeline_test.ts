import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import {
  createPipeline,
  isWholeChain,
  type PipelineEffect,
  type PipelineState,
  type Stage,
  type StepOrder,
  type StepOutput,
  stepPipeline,
} from "./index.ts";

const CHAIN: readonly Stage[] = [
  { upstream: "a", layers: { start: 0, end: 2 } },
  { upstream: "b", layers: { start: 2, end: 5 } },
];

function findOrder(effects: readonly PipelineEffect[]): StepOrder | undefined {
  for (const effect of effects) {
    if (effect.type === "step") return effect.order;
  }
  return undefined;
}

function answer(state: PipelineState, order: StepOrder, output: StepOutput) {
  const { epoch, position, stageIndex } = order;
  return stepPipeline(state, {
    type: "stepDone",
    epoch,
    position,
    stageIndex,
    output,
  });
}

test("a chain with a gap, an overlap or a lack is no chain", () => {
  assert.ok(isWholeChain(CHAIN, 5));
  assert.not(isWholeChain([], 5));
  assert.not(isWholeChain(CHAIN, 6));
  assert.not(isWholeChain([CHAIN[0], CHAIN[0]], 4));
  assert.throws(() =>
    stepPipeline(createPipeline(6), { type: "chain", chain: CHAIN })
  );
});

test("late, doubled and misplaced answers change nothing", () => {
  const first = stepPipeline(createPipeline(5), {
    type: "chain",
    chain: CHAIN,
  });
  const order = findOrder(first.effects);
  assert.ok(order);
  const output = { hidden: "h" };
  const passed = answer(first.state, order, output);
  const again = answer(passed.state, order, output);
  assert.is(again.state, passed.state);
  assert.is(again.effects[0].type, "late");
  const repaired = stepPipeline(passed.state, { type: "chain", chain: CHAIN });
  const late = answer(repaired.state, order, output);
  assert.is(late.state, repaired.state);
});

test("a last stage without a token breaks the pipeline", () => {
  const chain = [{ upstream: "a", layers: { start: 0, end: 5 } }];
  const { state, effects } = stepPipeline(createPipeline(5), {
    type: "chain",
    chain,
  });
  const order = findOrder(effects);
  assert.ok(order);
  assert.throws(() => answer(state, order, { hidden: "h" }));
});

// Stages fail at any step, answers come twice or late: whatever happens, each
// layer runs once for each token within its epoch, in order, and the caller
// gets each token once, in order.
test("every layer runs once for each token whatever fails", () => {
  const event = fc.constantFrom("ok", "fail", "double", "late");
  fc.assert(
    fc.property(fc.array(event, { maxLength: 80 }), (events) => {
      const chains = [CHAIN, [CHAIN[0], { ...CHAIN[1], upstream: "c" }]];
      let { state, effects } = stepPipeline(
        createPipeline(5, { maxTokens: 6 }),
        { type: "chain", chain: chains[0] },
      );
      const emitted: number[] = [];
      const ran = new Map<string, number[]>();
      const old: StepOrder[] = [];
      const take = (result: ReturnType<typeof stepPipeline>) => {
        ({ state, effects } = result);
        for (const effect of effects) {
          if (effect.type === "emit") emitted.push(effect.position);
        }
      };
      for (const what of [...events, ...Array(20).fill("ok") as string[]]) {
        const order = findOrder(effects);
        if (!order) break;
        if (what === "late" && old.length > 0) {
          const before = state;
          const late = answer(state, old[0], { hidden: "x" });
          if (late.state !== before) return false;
          continue;
        }
        if (what === "fail") {
          const chain = chains[state.epoch % 2];
          take(stepPipeline(state, { type: "chain", chain }));
          continue;
        }
        const key = `${order.epoch}/${order.position}`;
        const layers = ran.get(key) ?? [];
        for (
          let at = order.stage.layers.start;
          at < order.stage.layers.end;
          at++
        ) {
          layers.push(at);
        }
        ran.set(key, layers);
        const last = order.stageIndex === state.chain.length - 1;
        const output = last
          ? { token: { id: order.position, text: "t", last: false } }
          : { hidden: "h" };
        old.push(order);
        take(answer(state, order, output));
        if (what === "double") {
          const doubled = answer(state, order, output);
          if (doubled.state !== state) return false;
        }
      }
      const inOrder = [...ran.values()].every((layers) =>
        layers.every((layer, at) => layer === at)
      );
      return inOrder && emitted.every((position, at) => position === at);
    }),
    { seed: 4, numRuns: 300 },
  );
});

test.run();
