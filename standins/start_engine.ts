/**
 * A small stand-in for a model engine that holds a range of layers. It speaks
 * the steps of `src/upstreams/call_stage.ts` and refuses what breaks order.
 *
 * @module
 */

import Fastify from "fastify";
import { makeToken, readPrompt, readToken, runLayers } from "./engine_math.ts";

/** How the stand-in behaves. */
export interface StartEngineOptions {
  readonly port?: number;
  /** Time, in ms, of one step. */
  readonly stepMs?: number;
  readonly layerCount: number;
  /** Time, in ms, to load layers by an order; set, it holds none at first. */
  readonly loadMs?: number;
  /** Whether it refuses an order that is older than one it has taken. */
  readonly checksFences?: boolean;
  /** Tokens after which the model ends by itself. */
  readonly endAfter?: number;
}

/** What a test may do to a running stand-in. */
export interface EngineFault {
  /** Answers nothing, connection open. */
  frozen?: boolean;
  /** Cuts the connection at the next steps. */
  cutting?: boolean;
  /** Adds to the time of each step, in ms. */
  delayMs?: number;
}

/** A running stand-in. */
export interface Engine extends AsyncDisposable {
  readonly address: string;
  readonly fault: EngineFault;
  /** Steps that ran, for counting. */
  getSteps(): number;
  /** Orders that took effect, in order. */
  readonly orders: readonly EngineOrder[];
  /** Caches that are held now. */
  getCaches(): number;
}

/** An order that an engine was given. */
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
  let running = 0;
  const server = Fastify({ forceCloseConnections: true });

  server.post<{ Body: StepBody }>("/v1/steps", async (request, reply) => {
    if (fault.frozen) return await new Promise(() => {});
    if (fault.cutting) {
      request.raw.socket.destroy();
      return await new Promise(() => {});
    }
    running += 1;
    const delayMs = stepMs + (fault.delayMs ?? 0);
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    running -= 1;
    const { body } = request;
    const cache = findCache(body);
    if (typeof cache === "string") {
      return reply.code(409).header("crowlever-outcome", "not_run")
        .send({ reason: cache });
    }
    steps += 1;
    return { ...runStep(body, cache), load: running };
  });

  server.post<{ Body: EngineOrder }>("/v1/orders", (request, reply) => {
    const { fence, layers } = request.body;
    const last = orders.at(-1);
    const order = compareFences(fence, last?.fence);
    if (order < 0 && checksFences) return reply.code(409).send({});
    if (order !== 0) {
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

  function holds(layers: StepBody["layers"]): boolean {
    if (loadMs === undefined) return true;
    const held = orders.at(-1)?.layers;
    return performance.now() >= loadedMs && held?.start === layers.start &&
      held.end === layers.end;
  }

  function findCache(body: StepBody): Cache | string {
    if (!holds(body.layers)) return "other_layers";
    const known = caches.get(body.requestId);
    if (body.prefill) {
      if (known && known.epoch >= body.epoch) return "stale_epoch";
      const cache = {
        epoch: body.epoch,
        nextPosition: body.position,
        memory: [],
      };
      caches.set(body.requestId, cache);
      return cache;
    }
    if (!known || known.epoch !== body.epoch) return "stale_epoch";
    if (body.position < known.nextPosition) return "repeat";
    return body.position > known.nextPosition ? "gap" : known;
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
  const { port: taken } = server.server.address() as { port: number };
  return {
    address: `http://127.0.0.1:${taken}`,
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
