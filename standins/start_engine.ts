/**
 * A small stand-in for a model engine that holds a range of layers. It implements
 * the protocol of `src/upstreams/call_stage.ts` and rejects steps out of order.
 *
 * @module
 */

import Fastify from "fastify";
import { makeToken, readPrompt, readToken, runLayers } from "./engine_math.ts";

/** Options of {@link startEngine}. */
export interface StartEngineOptions {
  readonly port?: number;
  /** Duration of one step, in ms. */
  readonly stepMs?: number;
  readonly layerCount: number;
  /** Time, in ms, to load the layers of an order; if set, it holds none at first. */
  readonly loadMs?: number;
  /** Whether it rejects an order whose fence is older than that of the last order. */
  readonly checksFences?: boolean;
  /** Number of tokens after which the model ends the answer. */
  readonly endAfter?: number;
}

/** Faults that a test can inject into a running stand-in. */
export interface EngineFault {
  /** Leaves requests unanswered with their connections open. */
  frozen?: boolean;
  /** Closes the connection at each step. */
  cutting?: boolean;
  /** Additional duration of each step, in ms. */
  delayMs?: number;
}

/** A running stand-in. */
export interface Engine extends AsyncDisposable {
  readonly address: string;
  readonly fault: EngineFault;
  /** Returns the number of steps that ran. */
  getSteps(): number;
  /** Orders that took effect, in order. */
  readonly orders: readonly EngineOrder[];
  /** Returns the number of caches held. */
  getCaches(): number;
}

/** An order to hold a range of layers. */
export interface EngineOrder {
  readonly fence: { readonly term: number; readonly sequence: number };
  readonly layers: { readonly start: number; readonly end: number };
}

interface StepBody {
  requestId: string;
  epoch: number;
  position: number;
  layers: { start: number; end: number };
  prefill: boolean;
  hidden?: string;
  previousToken?: number;
  prompt?: { text: string; tokens: number[] };
}

interface Cache {
  epoch: number;
  nextPosition: number;
  memory: number[];
}

/** Starts a stand-in engine. */
export async function startEngine(
  options: StartEngineOptions,
): Promise<Engine> {
  const { port = 0, stepMs = 0, layerCount, endAfter = Infinity, loadMs } =
    options;
  const { checksFences = true } = options;
  const caches = new Map<string, Cache>();
  const fault: EngineFault = {};
  const orders: EngineOrder[] = [];
  let loadedMs = 0;
  let steps = 0;
  let runningSteps = 0;
  const server = Fastify({ forceCloseConnections: true });

  server.post<{ Body: StepBody }>("/v1/steps", async (request, reply) => {
    if (fault.frozen) return await new Promise(() => {});
    if (fault.cutting) {
      request.raw.socket.destroy();
      return await new Promise(() => {});
    }
    runningSteps += 1;
    const delayMs = stepMs + (fault.delayMs ?? 0);
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    runningSteps -= 1;
    const { body } = request;
    const cache = findCache(body);
    if (typeof cache === "string") {
      return reply.code(409).header("crowlever-outcome", "not_run")
        .send({ reason: cache });
    }
    steps += 1;
    return { ...runStep(body, cache), load: runningSteps };
  });

  server.post<{ Body: EngineOrder }>("/v1/orders", (request, reply) => {
    const { fence, layers } = request.body;
    const last = orders.at(-1);
    const fenceOrder = compareFences(fence, last?.fence);
    if (fenceOrder < 0 && checksFences) return reply.code(409).send({});
    if (fenceOrder !== 0) {
      orders.push({ fence, layers });
      loadedMs = performance.now() + (loadMs ?? 0);
    }
    return reply.code(performance.now() >= loadedMs ? 200 : 202).send({});
  });

  server.post<{ Body: { requestId: string; epoch: number } }>(
    "/v1/release",
    (request) => {
      const { requestId, epoch } = request.body;
      const cache = caches.get(requestId);
      if (cache && cache.epoch <= epoch) caches.delete(requestId);
      return {};
    },
  );

  function holdsLayers(layers: StepBody["layers"]): boolean {
    if (loadMs === undefined) return true;
    const held = orders.at(-1)?.layers;
    return performance.now() >= loadedMs && held?.start === layers.start &&
      held.end === layers.end;
  }

  function findCache(body: StepBody): Cache | string {
    if (!holdsLayers(body.layers)) return "other_layers";
    const existing = caches.get(body.requestId);
    if (body.prefill) {
      if (existing && existing.epoch >= body.epoch) return "stale_epoch";
      const cache = {
        epoch: body.epoch,
        nextPosition: body.position,
        memory: [],
      };
      caches.set(body.requestId, cache);
      return cache;
    }
    if (!existing || existing.epoch !== body.epoch) return "stale_epoch";
    if (body.position < existing.nextPosition) return "repeat";
    return body.position > existing.nextPosition ? "gap" : existing;
  }

  function runStep(body: StepBody, cache: Cache) {
    const { start, end } = body.layers;
    const inputs = readInputs(body);
    const outputs = inputs.map((input) => {
      const { memory } = cache;
      const result = runLayers(input, { start, end, memory });
      cache.memory = result.memory;
      return result.output;
    });
    cache.nextPosition = body.position + 1;
    if (end < layerCount) return { hidden: outputs.join(",") };
    const token = makeToken(outputs[outputs.length - 1]);
    return { token: { ...token, last: body.position + 1 >= endAfter } };
  }

  function readInputs(body: StepBody): number[] {
    if (body.hidden !== undefined) return body.hidden.split(",").map(Number);
    if (body.prompt) {
      const { text, tokens } = body.prompt;
      return [...readPrompt(text), ...tokens.map(readToken)];
    }
    return [readToken(body.previousToken ?? 0)];
  }

  await server.listen({ host: "127.0.0.1", port });
  const { port: boundPort } = server.server.address() as { port: number };
  return {
    address: `http://127.0.0.1:${boundPort}`,
    fault,
    orders,
    getSteps: () => steps,
    getCaches: () => caches.size,
    [Symbol.asyncDispose]: () => server.close(),
  };
}

function compareFences(
  a: EngineOrder["fence"],
  b: EngineOrder["fence"] | undefined,
): number {
  if (!b) return 1;
  return a.term - b.term || a.sequence - b.sequence;
}
