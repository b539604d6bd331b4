/**
 * Checks what gateways tell of themselves.
 *
 * @module
 */

import { Type } from "typebox";
import { Value } from "typebox/value";
import type { GatewayRecord } from "./messages.ts";

const GatewayRecordSchema = Type.Object({
  vm: Type.String({ minLength: 1 }),
  place: Type.String(),
  address: Type.String(),
  isReady: Type.Boolean(),
  cutOffServices: Type.Optional(
    Type.Union([Type.Undefined(), Type.Array(Type.String())]),
  ),
});

/**
 * Checks the record of a gateway. It is published to all gateways, so one of another form
 * would harm them all.
 *
 * @param record - The record, as the gateway sent it.
 * @returns Nothing.
 * @throws {TypeError} If it has another form.
 * @example
 * assertGatewayRecord(hello.gateway);
 */
export function assertGatewayRecord(record: GatewayRecord): void {
  if (Value.Check(GatewayRecordSchema, record)) return;
  throw new TypeError("The gateway's record has an invalid format");
}
