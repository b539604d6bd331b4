/**
 * Certificates for tests.
 *
 * @module
 */

import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { generate } from "selfsigned";

/** Files of a self-signed certificate. */
export interface CertificateFiles {
  readonly keyFile: string;
  readonly certificateFile: string;
  readonly authorityFile: string;
}

/** Writes a new key and self-signed certificate for the loopback address. */
export async function writeCertificate(
  folder: string,
  name: string,
): Promise<CertificateFiles> {
  const pems = await generate([{ name: "commonName", value: "127.0.0.1" }], {
    keySize: 2048,
    algorithm: "sha256",
    extensions: [
      { name: "basicConstraints", cA: true },
      {
        name: "subjectAltName",
        altNames: [{ type: 7, ip: "127.0.0.1" }],
      },
    ],
  });
  const files = {
    keyFile: join(folder, `${name}.key`),
    certificateFile: join(folder, `${name}.crt`),
    authorityFile: join(folder, `${name}.crt`),
  };
  await writeFile(files.keyFile, pems.private);
  await writeFile(files.certificateFile, pems.cert);
  return files;
}
