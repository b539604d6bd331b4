/**
 * Cuts this thread's connections to upstreams: they lead through a proxy in the
 * thread, which can hang, reset or refuse them.
 *
 * @module
 */

import net, { type AddressInfo, type Server, type Socket } from "node:net";
import { syncBuiltinESMExports } from "node:module";

/** What happens to connections to upstreams during a partition. */
export type PartitionKind =
  /** Open connections fall silent, and new ones are never established. */
  | "hang"
  /** Open connections are reset, and new ones are refused. */
  | "reset"
  /** Open connections live on, and new ones are refused. */
  | "refuseNew";

/** The upstreams that can't be reached, by port, and how that shows. */
export interface Partition {
  readonly kind: PartitionKind;
  readonly ports: readonly number[];
}

/** Controls the connections of this thread to upstreams. */
export interface PartitionControl {
  begin(partition: Partition): void;
  end(): void;
}

interface Pair {
  readonly port: number;
  readonly near: Socket;
  readonly far: Socket;
}

/** A port on which nothing listens. */
const CLOSED_PORT = 1;

/**
 * Routes all connections of this thread to the given ports through proxies.
 *
 * @param ports - Ports of the upstreams, on the loopback address.
 * @returns The control of these connections.
 */
export async function interceptConnections(
  ports: readonly number[],
): Promise<PartitionControl> {
  const connect = net.connect;
  const pairs = new Set<Pair>();
  const proxies = new Map<number, Server>();
  let partition: Partition | undefined;

  const isCut = (port: number) => partition?.ports.includes(port) ?? false;

  function startProxy(port: number): Promise<void> {
    const proxy = net.createServer((near) => {
      const far = connect({ host: "127.0.0.1", port });
      const pair = { port, near, far };
      pairs.add(pair);
      for (const socket of [near, far]) socket.on("error", () => {});
      near.on("close", () => end(pair, far));
      far.on("close", () => end(pair, near));
      near.pipe(far).pipe(near);
    });
    proxies.set(port, proxy);
    return new Promise((resolve) =>
      proxy.listen(0, "127.0.0.1", () => {
        proxy.unref();
        resolve();
      })
    );
  }

  // A close doesn't cross a partition in which connections fall silent.
  function end(pair: Pair, other: Socket): void {
    if (isCut(pair.port) && partition?.kind === "hang") return;
    pairs.delete(pair);
    other.destroy();
  }

  function applyTo({ port, near, far }: Pair): void {
    if (!isCut(port)) return;
    if (partition?.kind === "hang") {
      near.unpipe(far);
      far.unpipe(near);
    }
    if (partition?.kind === "reset") {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  }

  function connectThroughProxy(...args: unknown[]): Socket {
    const [options] = args as [{ port?: number | string } | undefined];
    const port = Number(options?.port);
    const proxy = proxies.get(port);
    if (!proxy) return (connect as (...all: unknown[]) => Socket)(...args);
    if (isCut(port) && partition?.kind === "hang") return new net.Socket();
    const target = isCut(port)
      ? CLOSED_PORT
      : (proxy.address() as AddressInfo).port;
    return connect({ ...options, host: "127.0.0.1", port: target });
  }

  await Promise.all(ports.map(startProxy));
  net.connect = connectThroughProxy as typeof net.connect;
  syncBuiltinESMExports();
  return {
    begin(started) {
      partition = started;
      pairs.forEach(applyTo);
    },
    end() {
      const { kind } = partition ?? {};
      partition = undefined;
      if (kind !== "hang") return;
      // What was silent stays so: its packets were given up.
      for (const { near, far } of pairs) far.destroy(), near.destroy();
    },
  };
}
