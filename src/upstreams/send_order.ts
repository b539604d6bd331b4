/**
 * Sends orders to engines: which layers of which model to load.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";
import type { UpstreamClient } from "./create_upstream_client.ts";

/** An order to an engine. */
export interface UpstreamOrder {
  readonly address: string;
  /** Fencing token of the order; an engine that checks it rejects older orders. */
  readonly fence: { readonly term: number; readonly sequence: number };
  readonly model: string;
  readonly version: string;
  readonly layers: LayerRange;
  /** Timeout, in ms, after which the call is cancelled and its connection closed. */
  readonly timeoutMs: number;
}

/** Status of an order, as answered by the engine. */
export type OrderAnswer = "ready" | "loading" | "fenced" | "failed";

/**
 * Sends an order to an engine. Orders are idempotent: sending the same one again
 * only polls its status.
 *
 * @param client - The client for upstreams.
 * @param order - The order.
 * @returns Whether the order is complete, in progress, rejected as outdated, or failed.
 * @throws Nothing; if the call fails, the status is `failed`.
 * @example
 * const answer = await sendOrder(client, order);
 */
export async function sendOrder(
  client: UpstreamClient,
  order: UpstreamOrder,
): Promise<OrderAnswer> {
  const { address, timeoutMs, ...body } = order;
  try {
    const answer = await client.call({
      address,
      method: "POST",
      path: "/v1/orders",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      timeoutMs,
      signal: AbortSignal.timeout(timeoutMs),
    });
    await answer.body.dump();
    if (answer.status === 200) return "ready";
    if (answer.status === 202) return "loading";
    return answer.status === 409 ? "fenced" : "failed";
  } catch {
    return "failed";
  }
}
