/**
 * Sends a heartbeat as an engine on the platform does.
 *
 * @module
 */

import { request } from "undici";

/** Time limit, in ms, for an acknowledgement; then the next control process is called. */
const ACK_TIMEOUT_MS = 500;

/** Options of {@link sendHeartbeat}. */
export interface SendHeartbeatOptions {
  readonly engineId: string;
  readonly body: object;
  /** Addresses of control processes, tried in order. */
  readonly controlAddresses: readonly string[];
}

/**
 * Sends a heartbeat until one control process acknowledges it.
 *
 * @param options - The engine, the heartbeat and the control processes.
 * @returns Whether a control process acknowledged it.
 * @throws Nothing.
 * @example
 * const isAcknowledged = await sendHeartbeat({ engineId, body, controlAddresses });
 */
export async function sendHeartbeat(
  options: SendHeartbeatOptions,
): Promise<boolean> {
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
      // Falls through to the next control process, as engines on the platform do.
    }
  }
  return false;
}
