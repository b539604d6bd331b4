/**
 * Credentials of the system's own processes: mutual TLS, or none on a
 * loopback trial.
 *
 * @module
 */

import {
  ChannelCredentials,
  experimental,
  ServerCredentials,
} from "@grpc/grpc-js";
import type { TlsFilesSettings } from "../settings/index.ts";

/** Ms between two looks at the key files; a changed one is used from then. */
const REFRESH_INTERVAL_MS = 1_000;

function watchFiles(files: TlsFilesSettings) {
  return new experimental.FileWatcherCertificateProvider({
    certificateFile: files.certificateFile,
    privateKeyFile: files.keyFile,
    caCertificateFile: files.authorityFile,
    refreshIntervalMs: REFRESH_INTERVAL_MS,
  });
}

/**
 * Makes the credentials of a server between our processes.
 *
 * @param files - Key files; absent means no TLS.
 * @returns The credentials; the other side must show a certificate too.
 * @throws Nothing.
 * @example
 * const credentials = createServerCredentials(settings.peerTls);
 */
export function createServerCredentials(
  files?: TlsFilesSettings,
): ServerCredentials {
  if (!files) return ServerCredentials.createInsecure();
  const provider = watchFiles(files);
  return experimental.createCertificateProviderServerCredentials(
    provider,
    provider,
    true,
  );
}

/**
 * Makes the credentials of a client between our processes.
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
  const provider = watchFiles(files);
  return experimental.createCertificateProviderChannelCredentials(
    provider,
    provider,
  );
}
