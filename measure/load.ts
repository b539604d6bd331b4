/**
 * Load generator: sends concurrent HTTP requests and measures their latencies
 * and failures.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

/** A request that the load generator sends. */
export interface LoadRequest {
  readonly url: string;
  readonly method?: "GET" | "POST";
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  /** Maximum number of requests in flight. */
  readonly concurrency: number;
  readonly requests: number;
  /** Target rate in requests per second; unlimited by default. */
  readonly ratePerS?: number;
  readonly makeRequest: (count: number) => LoadRequest;
  /** Whether a response counts as a success; by default, status 200 does. */
  readonly isExpected?: (status: number, text: string) => boolean;
}

/** Result of a load run. */
export interface LoadResult {
  readonly throughputPerS: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failures: number;
  /** Median time to the first byte of the body, in ms. */
  readonly firstByteP50Ms: number;
}

/** Sends the requests and measures latencies, throughput and failures. */
export async function runLoad(options: RunLoadOptions): Promise<LoadResult> {
  const { concurrency, requests, ratePerS, makeRequest } = options;
  const { isExpected = (status) => status === 200 } = options;
  const agent = new Agent({ connections: concurrency, pipelining: 1 });
  const latencyHistogram = makeHistogram();
  const firstByte = makeHistogram();
  let failedCount = 0;
  let sent = 0;
  const startedMs = performance.now();

  async function sendRequest(count: number): Promise<void> {
    const { url, method = "GET", headers, body } = makeRequest(count);
    const sentMs = performance.now();
    const response = await request(url, {
      method,
      headers,
      body,
      dispatcher: agent,
    });
    let text = "";
    for await (const chunk of response.body) {
      if (text === "") firstByte.recordValue(toUs(performance.now() - sentMs));
      text += String(chunk);
    }
    latencyHistogram.recordValue(toUs(performance.now() - sentMs));
    if (!isExpected(response.statusCode, text)) failedCount += 1;
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
      await sendRequest(count).catch(() => failedCount += 1);
    }
  }

  await Promise.all(Array.from({ length: concurrency }, worker));
  const elapsedS = (performance.now() - startedMs) / 1_000;
  await agent.close();
  return {
    throughputPerS: requests / elapsedS,
    p50Ms: latencyHistogram.getValueAtPercentile(50) / 1_000,
    p99Ms: latencyHistogram.getValueAtPercentile(99) / 1_000,
    failures: failedCount,
    firstByteP50Ms: firstByte.getValueAtPercentile(50) / 1_000,
  };
}

function makeHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3 });
}

// Histogram values are integers, in microseconds, of at least 1.
function toUs(ms: number): number {
  return Math.max(1, Math.round(ms * 1_000));
}
