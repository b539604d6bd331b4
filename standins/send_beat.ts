/**
 * Sends a heartbeat as engines on the users' platform do.
 *
 * @module
 */

import { request } from "undici";

/** Ms for an acknowledgement; then the next control process is called. */
const ACK_TIMEOUT_MS = 500;

/** Who says what, and to whom. */
export interface SendBeatOptions {
  readonly engineId: string;
  readonly body: object;
  /** Control processes, tried in turn. */
  readonly controlAddresses: readonly string[];
}

/**
 * Sends a heartbeat until one control process acknowledges it.
 *
 * @param options - Who says what, and to whom.
 * @returns Whether one has.
 * @throws Nothing.
 * @example
 * const isTaken = await sendBeat({ engineId, body, controlAddresses });
 */
export async function sendBeat(options: SendBeatOptions): Promise<boolean> {
  const { engineId, body, controlAddresses } = options;
  for (const control of controlAddresses) {
    try {
      const answer = await request(
        `http://${control}/api/instances/${engineId}/heartbeat`,
        {
          method: "POST",
          headers: { "content-type": "application/json" },
          body: JSON.stringify(body),
          signal: AbortSignal.timeout(ACK_TIMEOUT_MS),
        },
      );
      await answer.body.dump();
      if (answer.statusCode === 200) return true;
    } catch {
      // The next control process is asked, as on the platform.
    }
  }
  return false;
}
