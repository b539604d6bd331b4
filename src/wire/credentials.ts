/**
 * gRPC credentials of the system's processes: mutual TLS, or none for tests on the
 * loopback interface.
 *
 * @module
 */

import {
  ChannelCredentials,
  experimental,
  ServerCredentials,
} from "@grpc/grpc-js";
import type { TlsFilesSettings } from "../settings/index.ts";

/** Interval at which the key files are checked and reloaded if changed, in ms. */
const REFRESH_INTERVAL_MS = 1_000;

function createCertificateProvider(files: TlsFilesSettings) {
  return new experimental.FileWatcherCertificateProvider({
    certificateFile: files.certificateFile,
    privateKeyFile: files.keyFile,
    caCertificateFile: files.authorityFile,
    refreshIntervalMs: REFRESH_INTERVAL_MS,
  });
}

/**
 * Creates the credentials of a gRPC server.
 *
 * @param files - Key files; absent means no TLS.
 * @returns The credentials; clients must present a certificate.
 * @throws Nothing.
 * @example
 * const credentials = createServerCredentials(settings.peerTls);
 */
export function createServerCredentials(
  files?: TlsFilesSettings,
): ServerCredentials {
  if (!files) return ServerCredentials.createInsecure();
  const provider = createCertificateProvider(files);
  return experimental.createCertificateProviderServerCredentials(
    provider,
    provider,
    true,
  );
}

/**
 * Creates the credentials of a gRPC client.
 *
 * @param files - Key files; absent means no TLS.
 * @returns The credentials.
 * @throws Nothing.
 * @example
 * const credentials = createClientCredentials(settings.peerTls);
 */
export function createClientCredentials(
  files?: TlsFilesSettings,
): ChannelCredentials {
  if (!files) return ChannelCredentials.createInsecure();
  const provider = createCertificateProvider(files);
  return experimental.createCertificateProviderChannelCredentials(
    provider,
    provider,
  );
}
