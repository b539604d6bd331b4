import { test } from "uvu";
import * as assert from "uvu/assert";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { connect } from "node:tls";
import { launchFleet } from "../demo/launch_fleet.ts";
import { writeCertificate } from "./support/certificates.ts";

function readFingerprint(address: string): Promise<string> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    const socket = connect(
      { host, port: Number(port), rejectUnauthorized: false },
      () => {
        resolve(socket.getPeerCertificate().fingerprint256);
        socket.destroy();
      },
    );
    socket.on("error", reject);
  });
}

test("processes with mutual TLS form a fleet, and the certificate for callers is reloaded", async () => {
  const folder = await mkdtemp(join(tmpdir(), "crowlever-"));
  const peerTls = await writeCertificate(folder, "peer");
  const { keyFile, certificateFile } = await writeCertificate(folder, "caller");
  const callerTls = { keyFile, certificateFile };
  await using fleet = await launchFleet({
    entries: 1,
    entrySettings: { peerTls, callerTls },
    controlSettings: { peerTls },
  });
  const { address } = fleet.entries[0];
  const before = await readFingerprint(address);
  await writeCertificate(folder, "caller");
  await fleet.until("the entry serves the new certificate", async () => {
    return await readFingerprint(address) !== before;
  });
  assert.match(fleet.entries[0].getLog(), /CL1008/);
  await rm(folder, { recursive: true });
});

test("a process without a certificate gets no session", async () => {
  const folder = await mkdtemp(join(tmpdir(), "crowlever-"));
  const peerTls = await writeCertificate(folder, "peer");
  const foreign = await writeCertificate(folder, "foreign");
  await using fleet = await launchFleet({
    controls: 1,
    entries: 0,
    controlSettings: { peerTls },
  });
  for (const tls of [undefined, foreign]) {
    const unknownEntry = await fleet.launchEntry("stranger", { peerTls: tls });
    await fleet.until(
      "the entry has started",
      () => unknownEntry.getLog().includes("CL1001"),
    );
    await new Promise((resolve) => setTimeout(resolve, 1_500));
    assert.not.match(unknownEntry.getLog(), /CL1404/);
    unknownEntry.kill("SIGKILL");
    await unknownEntry.ended();
  }
  const knownEntry = await fleet.launchEntry("known", { peerTls });
  await fleet.until(
    "the entry with a certificate has a session",
    () => knownEntry.getLog().includes("CL1404"),
  );
  knownEntry.kill("SIGKILL");
  await knownEntry.ended();
  await rm(folder, { recursive: true });
});

test.run();
