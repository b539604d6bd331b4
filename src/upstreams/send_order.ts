/**
 * Orders to engines: which layers of which model to hold.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";
import type { UpstreamClient } from "./create_upstream_client.ts";

/** An order to an engine. */
export interface UpstreamOrder {
  readonly address: string;
  /** Names the order; an engine that checks refuses an older one. */
  readonly fence: { readonly term: number; readonly sequence: number };
  readonly model: string;
  readonly version: string;
  readonly layers: LayerRange;
  /** Time, in ms, after which the order is given up and its connection cut. */
  readonly timeoutMs: number;
}

/** What an engine answered. */
export type OrderAnswer = "ready" | "loading" | "fenced" | "failed";

/**
 * Gives an order to an engine, or asks how far it is: the same order twice
 * changes nothing.
 *
 * @param client - The client for upstreams.
 * @param order - The order.
 * @returns Whether it is carried out, under way, or refused as older.
 * @throws Nothing; a call that fails is `failed`.
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
