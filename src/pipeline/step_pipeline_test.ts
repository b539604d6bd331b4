import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import {
  createPipeline,
  isCompleteChain,
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

function completeStep(
  state: PipelineState,
  order: StepOrder,
  output: StepOutput,
) {
  const { epoch, position, stageIndex } = order;
  return stepPipeline(state, {
    type: "stepDone",
    epoch,
    position,
    stageIndex,
    output,
  });
}

test("a chain with a gap, an overlap or missing layers is rejected", () => {
  assert.ok(isCompleteChain(CHAIN, 5));
  assert.not(isCompleteChain([], 5));
  assert.not(isCompleteChain(CHAIN, 6));
  assert.not(isCompleteChain([CHAIN[0], CHAIN[0]], 4));
  assert.throws(() =>
    stepPipeline(createPipeline(6), { type: "chain", chain: CHAIN })
  );
});

test("late, duplicate and unexpected outputs change nothing", () => {
  const first = stepPipeline(createPipeline(5), {
    type: "chain",
    chain: CHAIN,
  });
  const order = findOrder(first.effects);
  assert.ok(order);
  const output = { hidden: "h" };
  const advanced = completeStep(first.state, order, output);
  const duplicate = completeStep(advanced.state, order, output);
  assert.is(duplicate.state, advanced.state);
  assert.is(duplicate.effects[0].type, "late");
  const repaired = stepPipeline(advanced.state, {
    type: "chain",
    chain: CHAIN,
  });
  const late = completeStep(repaired.state, order, output);
  assert.is(late.state, repaired.state);
});

test("a last stage without a token violates an invariant", () => {
  const chain = [{ upstream: "a", layers: { start: 0, end: 5 } }];
  const { state, effects } = stepPipeline(createPipeline(5), {
    type: "chain",
    chain,
  });
  const order = findOrder(effects);
  assert.ok(order);
  assert.throws(() => completeStep(state, order, { hidden: "h" }));
});

// Stages fail at any step, and outputs arrive twice or late. Guards against layers that
// run twice or out of order for a token within an epoch, and against tokens that the
// caller receives twice or out of order.
test("every layer runs once per token despite failures", () => {
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
      const earlierOrders: StepOrder[] = [];
      const apply = (result: ReturnType<typeof stepPipeline>) => {
        ({ state, effects } = result);
        for (const effect of effects) {
          if (effect.type === "emit") emitted.push(effect.position);
        }
      };
      for (const action of [...events, ...Array(20).fill("ok") as string[]]) {
        const order = findOrder(effects);
        if (!order) break;
        if (action === "late" && earlierOrders.length > 0) {
          const before = state;
          const late = completeStep(state, earlierOrders[0], { hidden: "x" });
          if (late.state !== before) return false;
          continue;
        }
        if (action === "fail") {
          const chain = chains[state.epoch % 2];
          apply(stepPipeline(state, { type: "chain", chain }));
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
        earlierOrders.push(order);
        apply(completeStep(state, order, output));
        if (action === "double") {
          const duplicate = completeStep(state, order, output);
          if (duplicate.state !== state) return false;
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
