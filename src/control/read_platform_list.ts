/**
 * Reads the platform's list of VMs.
 *
 * @module
 */

import { type Static, Type } from "typebox";
import { Value } from "typebox/value";
import { request } from "undici";
import { readLimitedBody } from "../http/index.ts";
import type { PlatformState } from "../model/index.ts";
import { ControlError } from "./control_error.ts";

const PlatformListSchema = Type.Object({
  vms: Type.Array(Type.Object({
    vm: Type.String(),
    state: Type.Union([Type.Literal("live"), Type.Literal("leaving")]),
  })),
});

/** Largest list, in bytes: that of many thousand VMs. */
const MAX_LIST_BYTES = 4_194_304;

/** The platform's VM list can't be read or has an unexpected format. */
export const PlatformListError = ControlError.subclass("PlatformListError");

/**
 * Reads the platform's list of VMs.
 *
 * @param url - The URL of the list.
 * @param options - The time limit of the request, in ms.
 * @returns The state of each VM in the list.
 * @throws {PlatformListError} If the list can't be read or parsed.
 * @example
 * const vms = await readPlatformList(url, { timeoutMs: 1_000 });
 */
export async function readPlatformList(
  url: string,
  options: { timeoutMs: number },
): Promise<Record<string, PlatformState>> {
  const body = await fetchList(url, options);
  if (!Value.Check(PlatformListSchema, body)) {
    throw new PlatformListError(
      `The platform's VM list at ${url} has an invalid format`,
    );
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
    const maxBytes = MAX_LIST_BYTES;
    const bytes = await readLimitedBody(response.body, { maxBytes });
    return JSON.parse(bytes.toString("utf8"));
  } catch (cause) {
    throw new PlatformListError(
      `The platform's VM list at ${url} can't be read`,
      { cause },
    );
  }
}
