/**
 * The parts of the protocol between callers and upstreams that a gateway uses.
 * The codec that parses and formats it is passed in.
 *
 * @module
 */

import type { IncomingHttpHeaders } from "node:http";
import type { EngineCallOptions, EngineNotice } from "../engines/index.ts";
import type { ResponseFraming } from "../http/index.ts";
import type { RefusalReason } from "../metrics/index.ts";
import type { PathPart } from "../layers/index.ts";

/** A caller's request header, parsed. */
export interface CallerRequest {
  /** Identifies this attempt; empty if the caller sent none. */
  readonly requestId: string;
  readonly host: string;
  /** Path without the query. */
  readonly path: string;
  /** Path and query, unaltered. */
  readonly target: string;
  readonly method: string;
  readonly key: string | undefined;
  /** Time, in ms, that the caller will wait; undefined if it sent no deadline. */
  readonly deadlineMs: number | undefined;
  /** Id of the last event received; a stream resumes after it. */
  readonly lastEventId: string | undefined;
  readonly promptTokens: number;
  /** Maximum number of tokens in the answer. */
  readonly maxAnswerTokens: number;
  /** Ids of the parts of the prompt, in order; empty if the caller named none. */
  readonly promptPartIds: readonly string[];
  /** Unaltered header fields, as alternating names and values. */
  readonly rawHeaders: readonly string[];
  /**
   * Gateway that passed the request on because it is cut off from the service; absent
   * if a caller sent it. Never trusted for more than to limit the request.
   */
  readonly forwardedBy?: string;
}

/** What a gateway adds to a request that it passes on to another gateway. */
export interface PeerEnvelope {
  readonly forwardedBy: string;
  readonly deadlineMs: number;
  readonly lastEventId: string | undefined;
}

/** What a gateway adds to a caller's request before it sends it to an upstream. */
export interface UpstreamEnvelope {
  readonly deadlineMs: number;
  /** The only incarnation of the upstream that may run the request. */
  readonly engineId: string;
  readonly account: string | undefined;
  /** Priority among the requests of the upstream; 0 is the most urgent. */
  readonly priority?: number;
  readonly lastEventId: string | undefined;
  /** Layer ranges with addresses; empty if one engine has all layers. */
  readonly path: readonly AddressedPart[];
}

/** A part of a path, with the address of its engine. */
export interface AddressedPart extends PathPart {
  readonly address: string;
}

/** An upstream's response header, parsed. */
export interface UpstreamHead extends EngineNotice, ResponseFraming {
  readonly status: number;
  /** Fields to forward to the caller, as alternating names and values. */
  readonly headers: readonly string[];
  /** Id of the request that it answers; empty if the upstream sent none. */
  readonly requestId: string;
  /** Whether the upstream signed the answer as its own. */
  readonly isSigned: boolean;
  /** Whether the upstream reports that it did not run the request. */
  readonly reportsNotRun: boolean;
  /** Address of the upstream at fault, if that is another one. */
  readonly faultAddress: string | undefined;
  /** Running and waiting requests divided by slots, if reported. */
  readonly load: number | undefined;
}

/** A final response that the gateway itself gives instead of an upstream. */
export interface Refusal {
  readonly status: number;
  readonly reason: RefusalReason;
  /** Time, in ms, after which the caller may retry. */
  readonly retryAfterMs?: number;
}

/** Parses and formats the protocol between callers and upstreams. */
export interface CallerCodec {
  readRequest(
    request: {
      method: string;
      target: string;
      headers: IncomingHttpHeaders;
      rawHeaders: readonly string[];
    },
  ): CallerRequest;
  formatUpstreamHeaders(
    request: CallerRequest,
    envelope: UpstreamEnvelope,
  ): string[];
  formatPeerHeaders(request: CallerRequest, envelope: PeerEnvelope): string[];
  readUpstreamHead(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): UpstreamHead;
  formatRefusalHeaders(
    refusal: Refusal,
    request: CallerRequest | undefined,
  ): Record<string, string>;
}

/** Whether an engine responds, and how slow it reports to be. */
export type EngineLiveness =
  /** `pace` multiplies its usual processing times; 1 if it is not slow. */
  | { readonly state: "present"; readonly pace: number }
  /** The engine refuses connections. */
  | { readonly state: "absent" }
  | { readonly state: "silent" };

/** An engine's answer to the command to move a running request. */
export interface PathChangeAnswer {
  readonly isAccepted: boolean;
  /** Address of the engine of the new path that does not hold its part, if named. */
  readonly missingAddress?: string;
}

/** Queries and controls the engines of a layered model. */
export interface EngineControl {
  checkLiveness(
    address: string,
    options: EngineCallOptions,
  ): Promise<EngineLiveness>;
  /** Lists the requests stalled at an engine, with the engine each waits for. */
  listStalledRequests(
    address: string,
    options: EngineCallOptions,
  ): Promise<readonly StalledRequest[]>;
  /** Moves a running request to other engines; the first one on the path stays. */
  changePath(
    address: string,
    options: EngineCallOptions & {
      readonly requestId: string;
      readonly path: readonly AddressedPart[];
    },
  ): Promise<PathChangeAnswer>;
}

/** A stalled request. */
export interface StalledRequest {
  readonly requestId: string;
  /** Address of the engine that it waits for. */
  readonly address: string;
}
