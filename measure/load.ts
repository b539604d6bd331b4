/**
 * A small load tool: many requests at once, their latencies, their failures.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

/** One request of a load. */
export interface LoadRequest {
  readonly url: string;
  readonly method?: "GET" | "POST";
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  /** Requests that are in flight at once. */
  readonly concurrency: number;
  readonly requests: number;
  /** Requests a second; as many as go by default. */
  readonly ratePerS?: number;
  readonly makeRequest: (count: number) => LoadRequest;
  /** Whether an answer is right. */
  readonly isRight?: (status: number, text: string) => boolean;
}

/** What a load measured. */
export interface LoadResult {
  readonly perS: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly wrong: number;
  /** Time to the first byte of the body, in ms. */
  readonly firstP50Ms: number;
}

/** Runs a load. */
export async function runLoad(options: RunLoadOptions): Promise<LoadResult> {
  const { concurrency, requests, ratePerS, makeRequest } = options;
  const { isRight = (status) => status === 200 } = options;
  const agent = new Agent({ connections: concurrency, pipelining: 1 });
  const histogram = makeHistogram();
  const first = makeHistogram();
  let wrong = 0;
  let sent = 0;
  const startedMs = performance.now();

  async function one(count: number): Promise<void> {
    const { url, method = "GET", headers, body } = makeRequest(count);
    const beganMs = performance.now();
    const response = await request(url, {
      method,
      headers,
      body,
      dispatcher: agent,
    });
    let text = "";
    for await (const chunk of response.body) {
      if (text === "") first.recordValue(toValue(performance.now() - beganMs));
      text += String(chunk);
    }
    histogram.recordValue(toValue(performance.now() - beganMs));
    if (!isRight(response.statusCode, text)) wrong += 1;
  }

  async function worker(): Promise<void> {
    while (sent < requests) {
      const count = sent++;
      if (ratePerS !== undefined) {
        const dueMs = startedMs + (count / ratePerS) * 1_000;
        const waitMs = dueMs - performance.now();
        if (waitMs > 0) {
          await new Promise((resolve) => setTimeout(resolve, waitMs));
        }
      }
      await one(count).catch(() => wrong += 1);
    }
  }

  await Promise.all(Array.from({ length: concurrency }, worker));
  const elapsedS = (performance.now() - startedMs) / 1_000;
  await agent.close();
  return {
    perS: requests / elapsedS,
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
    wrong,
    firstP50Ms: first.getValueAtPercentile(50) / 1_000,
  };
}

function makeHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3 });
}

// Microseconds.
function toValue(ms: number): number {
  return Math.max(1, Math.round(ms * 1_000));
}
