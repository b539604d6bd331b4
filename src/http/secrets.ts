/**
 * Hashes secrets and compares them in constant time.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Hashes an API key or token in the form stored in resources.
 *
 * @param secret - The key or token.
 * @returns Its SHA-256 in hex.
 * @throws Nothing.
 * @example
 * const keySha256 = hashSecret("key-of-the-account");
 */
export function hashSecret(secret: string): string {
  return createHash("sha256").update(secret).digest("hex");
}

/**
 * Compares two hashes in constant time, so that the duration reveals nothing.
 *
 * @param a - A SHA-256 in hex.
 * @param b - Another SHA-256 in hex.
 * @returns Whether they are equal.
 * @throws Nothing.
 * @example
 * isSameHash(hashSecret(token), operator.spec.tokenSha256);
 */
export function isSameHash(a: string, b: string): boolean {
  const left = Buffer.from(a, "hex");
  const right = Buffer.from(b, "hex");
  return left.length === right.length && timingSafeEqual(left, right);
}

/**
 * Extracts the secret from an `Authorization: Bearer` header.
 *
 * @param header - The header's value, if any.
 * @returns The secret, or undefined if there is none.
 * @throws Nothing.
 * @example
 * const key = parseBearer(request.headers.authorization);
 */
export function parseBearer(header: string | undefined): string | undefined {
  const match = /^Bearer +(\S+)$/i.exec(header ?? "");
  return match?.[1];
}
