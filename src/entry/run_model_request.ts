/**
 * Runs a request at a model service: drives its pipeline over a chain of stages, and
 * continues on another chain if a stage fails.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../logs/index.ts";
import {
  type Metrics,
  REFUSAL_REASONS,
  type RefusalReason,
} from "../metrics/index.ts";
import type { Outcome } from "../model/index.ts";
import {
  createPipeline,
  type EmittedToken,
  type PipelineEffect,
  PipelineInvariantError,
  type PipelineState,
  type StepOrder,
  stepPipeline,
} from "../pipeline/index.ts";
import { classifyFailure, type DispatchFailure } from "../retry/index.ts";
import { chooseChain, findRemainingBackOffMs } from "../routing/index.ts";
import {
  callStage,
  getDispatchFailure,
  releaseStage,
  type UpstreamClient,
} from "../upstreams/index.ts";
import type { KnownUpstream, UpstreamTable } from "./create_upstream_table.ts";
import { RequestProblemError } from "./entry_error.ts";
import { getRetryAfterS } from "./get_retry_after_s.ts";
import { applyBackOff } from "./apply_back_off.ts";
import type { RequestContext } from "./request_context.ts";

/** A call of a model service. */
export interface ModelCall {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly layerCount: number;
  /** Other parameters of the request, forwarded unchanged. */
  readonly parameters: Readonly<Record<string, unknown>>;
  /** Called for each token, in order. */
  readonly onToken: (token: EmittedToken, position: number) => void;
}

/** A complete answer. */
export interface ModelAnswer {
  readonly tokens: readonly EmittedToken[];
  /** Names of the stages that generated the last token. */
  readonly path: readonly string[];
  /** Number of chains used; 1 if no stage failed. */
  readonly epochs: number;
}

/** Runs requests at model services. */
export interface ModelRunner {
  run(context: RequestContext, call: ModelCall): Promise<ModelAnswer>;
}

/** Options of {@link createModelRunner}. */
export interface CreateModelRunnerOptions {
  readonly table: UpstreamTable;
  readonly client: UpstreamClient;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** Time, in ms, for a step of one token; a stage that exceeds it counts as stalled. */
export const STEP_TIMEOUT_MS = 500;

/** Time, in ms, for a prefill step, which runs the whole prompt. */
export const PREFILL_TIMEOUT_MS = 5_000;

/** Number of chains after which a request that has run uses another only after a delay. */
export const MAX_EPOCHS = 8;

/** Ms before each further chain: it has to run the whole prompt again. */
const EXTRA_EPOCH_DELAY_MS = 500;

/** Polling interval, in ms, while waiting for a chain. */
const CHAIN_POLL_MS = 50;

/**
 * Creates a runner for requests at model services.
 *
 * @param options - The upstream table, the client, metrics and a clock.
 * @returns The runner.
 * @throws Nothing.
 * @example
 * const runner = createModelRunner(options);
 */
export function createModelRunner(
  options: CreateModelRunnerOptions,
): ModelRunner {
  const { table, client, metrics, log, now, random } = options;

  async function run(
    context: RequestContext,
    call: ModelCall,
  ): Promise<ModelAnswer> {
    let state = createPipeline(call.layerCount, call);
    const tried = new Set<string>();
    let sent = false;
    while (sent || state.epoch < MAX_EPOCHS) {
      if (state.epoch >= MAX_EPOCHS) await sleep(EXTRA_EPOCH_DELAY_MS);
      const chain = await findChain(context, { call, tried, sent });
      if (!chain) {
        const backOffLeftMs = getBackOffLeftMs(context, call);
        const reason = backOffLeftMs > 0 ? "resting" : "no_chain";
        throw createIncompleteError(state, { sent, reason, backOffLeftMs });
      }
      const path = chain.map((view) => view.name);
      context.addStep(`epoch ${state.epoch + 1} over ${path.join(" > ")}`);
      const outcome = await runTrackedEpoch(context, { state, call, chain });
      state = outcome.state;
      sent ||= outcome.sent;
      if (state.ended) {
        return { tokens: state.tokens, path, epochs: state.epoch };
      }
      if (context.signal.aborted) throw new Error("The caller disconnected");
      handleStageFailure(context, { ...outcome, tried });
    }
    throw createIncompleteError(state, { sent, reason: "no_chain" });
  }

  function getBackOffLeftMs(
    { service }: RequestContext,
    { layerCount }: ModelCall,
  ): number {
    const views = table.list(service.spec.pool);
    const nowMs = now();
    const canSend = (atMs: number) =>
      chooseChain(views, layerCount, { nowMs: atMs, random: 0 }) !== undefined;
    return findRemainingBackOffMs(views, { nowMs, canSend }) ?? 0;
  }

  async function runTrackedEpoch(
    context: RequestContext,
    epoch: Parameters<typeof runEpoch>[1],
  ): Promise<EpochOutcome> {
    const names = epoch.chain.map((view) => view.name);
    names.forEach(table.begin);
    try {
      return await runEpoch(context, epoch);
    } finally {
      names.forEach(table.end);
      releaseAll(context, { ...epoch, epoch: epoch.state.epoch + 1 });
    }
  }

  async function findChain(
    context: RequestContext,
    request: { call: ModelCall; tried: Set<string>; sent: boolean },
  ): Promise<readonly KnownUpstream[] | undefined> {
    const { call, tried, sent } = request;
    const waitUntilMs = sent ? context.deadlineMs : now();
    while (true) {
      const views = table.list(context.service.spec.pool);
      const chain = chooseChain(views, call.layerCount, {
        nowMs: now(),
        random: random(),
        exclude: tried,
      });
      // A request that has run waits for a stage to recover: ending it before its
      // deadline would only say that its outcome is unknown.
      const isInTime = now() + getBackOffLeftMs(context, call) < waitUntilMs;
      if (chain || !isInTime || context.signal.aborted) {
        return chain as readonly KnownUpstream[] | undefined;
      }
      tried.clear();
      await sleep(CHAIN_POLL_MS);
    }
  }

  interface EpochOutcome {
    readonly state: PipelineState;
    /** Whether a stage may have run a step. */
    readonly sent: boolean;
    readonly failedAt?: string;
    readonly failure?: DispatchFailure;
  }

  async function runEpoch(
    context: RequestContext,
    epoch: {
      state: PipelineState;
      call: ModelCall;
      chain: readonly KnownUpstream[];
    },
  ): Promise<EpochOutcome> {
    const { call, chain } = epoch;
    const stages = chain.map((view) => ({
      upstream: view.name,
      layers: view.layers ?? { start: 0, end: 0 },
    }));
    let { state, effects } = advance(epoch.state, {
      type: "chain",
      chain: stages,
    });
    let sent = false;
    while (!state.ended) {
      const order = findStepOrder(effects);
      if (!order || context.signal.aborted) break;
      try {
        const output = await runStep(context, { order, call, chain, state });
        sent = true;
        const { position, stageIndex } = order;
        ({ state, effects } = advance(state, {
          type: "stepDone",
          epoch: order.epoch,
          position,
          stageIndex,
          output,
        }));
        emit(effects, call);
      } catch (error) {
        const failure = getDispatchFailure(error);
        if (!failure) throw error;
        sent ||= classifyFailure(failure).outcome !== "not_run";
        return { state, sent, failure, failedAt: order.stage.upstream };
      }
    }
    return { state, sent };
  }

  function advance(
    state: PipelineState,
    event: Parameters<typeof stepPipeline>[1],
  ) {
    try {
      return stepPipeline(state, event);
    } catch (error) {
      if (!(error instanceof PipelineInvariantError)) throw error;
      metrics.count("pipeline.invariant");
      log("pipelineInvariant", { error });
      throw makeProblem({
        status: 500,
        reason: "pipeline_invariant",
        detail: "A pipeline step violated the order of steps",
        outcome: "failed",
      });
    }
  }

  async function runStep(
    context: RequestContext,
    step: {
      order: StepOrder;
      call: ModelCall;
      chain: readonly KnownUpstream[];
      state: PipelineState;
    },
  ) {
    const { order, call, chain, state } = step;
    const view = chain[order.stageIndex];
    const stepTimeoutMs = order.prefill ? PREFILL_TIMEOUT_MS : STEP_TIMEOUT_MS;
    const output = await callStage(client, {
      address: view.spec.address,
      requestId: context.requestId,
      order,
      prompt: order.prefill
        ? { text: call.prompt, tokens: state.tokens.map((token) => token.id) }
        : undefined,
      parameters: call.parameters,
      priority: context.priority,
      timeoutMs: Math.max(
        1,
        Math.min(stepTimeoutMs, context.deadlineMs - now()),
      ),
    });
    table.recordResult(view.name, true);
    return output;
  }

  function handleStageFailure(
    context: RequestContext,
    failed: EpochOutcome & { tried: Set<string> },
  ): void {
    const { failure, failedAt, tried, state } = failed;
    if (!failure || failedAt === undefined) return;
    const { reason } = classifyFailure(failure);
    // A stage that asks for a back-off continues the requests that it already runs.
    const { backOffMs } = failure;
    if (backOffMs !== undefined) applyBackOff(failedAt, backOffMs, options);
    // A step cut short by the caller's deadline is not the stage's fault.
    const ejected = now() < context.deadlineMs && backOffMs === undefined &&
      table.recordResult(failedAt, false);
    if (ejected) {
      metrics.count("upstream.ejected");
      log("upstreamEjected", { upstream: failedAt });
    }
    tried.add(failedAt);
    if (now() >= context.deadlineMs) {
      throw createIncompleteError(state, {
        sent: failed.sent,
        reason: "deadline_too_near",
      });
    }
    metrics.countRetry(reason);
    metrics.count("pipeline.repairs");
    context.addStep(`stage ${failedAt} failed: ${reason}`);
    const { requestId } = context;
    log("chainRepaired", { requestId, upstream: failedAt, reason });
  }

  function releaseAll(
    context: RequestContext,
    over: { chain: readonly KnownUpstream[]; epoch: number },
  ): void {
    const { requestId } = context;
    for (const { spec } of over.chain) {
      const { address } = spec;
      void releaseStage(client, { address, requestId, epoch: over.epoch });
    }
  }

  return { run };
}

function findStepOrder(
  effects: readonly PipelineEffect[],
): StepOrder | undefined {
  for (const effect of effects) {
    if (effect.type === "step") return effect.order;
  }
  return undefined;
}

function emit(effects: readonly PipelineEffect[], call: ModelCall): void {
  for (const effect of effects) {
    if (effect.type === "emit") call.onToken(effect.token, effect.position);
  }
}

function createIncompleteError(
  state: PipelineState,
  end: { sent: boolean; reason: RefusalReason; backOffLeftMs?: number },
): Error {
  const { backOffLeftMs = 0 } = end;
  // Once the caller has received tokens the outcome is a known failure.
  const outcome: Outcome = state.tokens.length > 0
    ? "failed"
    : end.sent
    ? "unknown"
    : "not_run";
  return makeProblem({
    status: 503,
    reason: end.reason,
    detail: REFUSAL_REASONS[end.reason],
    outcome,
    retryAfterS: getRetryAfterS(backOffLeftMs),
  });
}

function makeProblem(
  problem: {
    status: number;
    reason: string;
    detail: string;
    outcome: Outcome;
    retryAfterS?: number;
  },
): Error {
  return new RequestProblemError(problem.detail, { props: { problem } });
}
