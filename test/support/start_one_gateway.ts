/**
 * A single gateway for tests that bring their own control processes.
 *
 * @module
 */

import { findFreePorts } from "../../demo/find_free_ports.ts";
import { callerCodec } from "../../platform/codec.ts";
import { decodeConfig } from "../../platform/decode_config.ts";
import { createEngineCalls } from "../../platform/engine_calls.ts";
import { type Gateway, startGateway } from "../../src/gateway/index.ts";
import { createMetrics } from "../../src/metrics/index.ts";

/** Starts a gateway that looks for its leader at these addresses. */
export async function startOneGateway(
  seedAddresses: readonly string[],
): Promise<AsyncDisposable & { readonly gateway: Gateway }> {
  const [port] = await findFreePorts(1);
  const gateway = await startGateway({
    vm: "g1",
    place: "p1",
    listen: { host: "127.0.0.1", port },
    revokeMs: 5_000,
    retryBudget: { ratio: 0.2, extra: 100, windowMs: 10_000 },
    graceMs: 300,
  }, {
    codec: callerCodec,
    engineControl: createEngineCalls().engineControl,
    decodeConfig,
    getSeedAddresses: () => seedAddresses,
    log: () => {},
    metrics: createMetrics(),
  });
  return { gateway, [Symbol.asyncDispose]: () => gateway.stop() };
}
