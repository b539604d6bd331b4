/**
 * Reads the platform's list of VMs.
 *
 * @module
 */

import { type Static, Type } from "typebox";
import { Value } from "typebox/value";
import { request } from "undici";
import type { PlatformState } from "../model/index.ts";
import { ControlError } from "./control_error.ts";

const PlatformListSchema = Type.Object({
  vms: Type.Array(Type.Object({
    vm: Type.String(),
    state: Type.Union([Type.Literal("live"), Type.Literal("leaving")]),
  })),
});

/** The platform's list could not be read or makes no sense. */
export const PlatformListError = ControlError.subclass("PlatformListError");

/**
 * Reads the platform's list of VMs.
 *
 * @param url - Where the platform serves it.
 * @param options - Time, in ms, after which the read is given up.
 * @returns The state of each VM that the list names.
 * @throws {PlatformListError} When it can't be read.
 * @example
 * const vms = await readPlatformList(url, { timeoutMs: 1_000 });
 */
export async function readPlatformList(
  url: string,
  options: { timeoutMs: number },
): Promise<Record<string, PlatformState>> {
  const body = await fetchList(url, options);
  if (!Value.Check(PlatformListSchema, body)) {
    throw new PlatformListError(`The platform's list at ${url} makes no sense`);
  }
  const { vms } = body as Static<typeof PlatformListSchema>;
  return Object.fromEntries(vms.map(({ vm, state }) => [vm, state]));
}

async function fetchList(
  url: string,
  options: { timeoutMs: number },
): Promise<unknown> {
  try {
    const signal = AbortSignal.timeout(options.timeoutMs);
    const response = await request(url, { signal });
    return await response.body.json();
  } catch (cause) {
    throw new PlatformListError(
      `The platform's list at ${url} can't be read`,
      { cause },
    );
  }
}
