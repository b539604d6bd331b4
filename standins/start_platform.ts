/**
 * A small stand-in for the platform: it serves the list of VMs, live and leaving.
 *
 * @module
 */

import Fastify from "fastify";

/** A running stand-in. */
export interface Platform extends AsyncDisposable {
  readonly address: string;
  /** Adds a VM to the list or sets its state. */
  set(vm: string, state: "live" | "leaving"): void;
  remove(vm: string): void;
}

/** Starts a stand-in for the platform. */
export async function startPlatform(
  options: { port?: number } = {},
): Promise<Platform> {
  const vms = new Map<string, "live" | "leaving">();
  const server = Fastify({ forceCloseConnections: true });
  server.get("/v1/vms", () => ({
    vms: [...vms].map(([vm, state]) => ({ vm, state })),
  }));
  await server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
  const { port } = server.server.address() as { port: number };
  return {
    address: `http://127.0.0.1:${port}/v1/vms`,
    set: (vm, state) => void vms.set(vm, state),
    remove: (vm) => void vms.delete(vm),
    [Symbol.asyncDispose]: () => server.close(),
  };
}
