/**
 * Opens the listener of a gRPC server.
 *
 * @module
 */

import type { Server } from "@grpc/grpc-js";
import type { TlsFilesSettings } from "../settings/index.ts";
import { createServerCredentials } from "./credentials.ts";

/** Where a server listens. */
export interface BindGrpcOptions {
  /** Host and port. */
  readonly address: string;
  readonly tls?: TlsFilesSettings;
}

/**
 * Opens the listener of a gRPC server.
 *
 * @param grpc - The server.
 * @param options - The address and the TLS files.
 * @returns The port.
 * @throws {Error} When the address is taken.
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
