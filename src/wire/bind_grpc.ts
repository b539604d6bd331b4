/**
 * Binds gRPC servers to their addresses.
 *
 * @module
 */

import type { Server } from "@grpc/grpc-js";
import type { TlsFilesSettings } from "../settings/index.ts";
import { createServerCredentials } from "./credentials.ts";

/** Options of {@link bindGrpc}. */
export interface BindGrpcOptions {
  /** Host and port. */
  readonly address: string;
  readonly tls?: TlsFilesSettings;
}

/**
 * Binds a gRPC server to an address and starts to listen.
 *
 * @param grpc - The server.
 * @param options - The address and the TLS files.
 * @returns The port, also if the address names port 0.
 * @throws {Error} If the address can't be bound, such as when it is in use.
 * @example
 * const port = await bindGrpc(grpc, { address: "127.0.0.1:0" });
 */
export function bindGrpc(
  grpc: Server,
  options: BindGrpcOptions,
): Promise<number> {
  const credentials = createServerCredentials(options.tls);
  return new Promise((resolve, reject) => {
    grpc.bindAsync(options.address, credentials, (error, port) => {
      if (error) reject(error);
      else resolve(port);
    });
  });
}
