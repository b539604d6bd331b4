/**
 * Sends quorum messages between replicas over gRPC streams.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  type ClientWritableStream,
  type handleClientStreamingCall,
  Metadata,
  status,
} from "@grpc/grpc-js";
import type { Logger } from "../logs/index.ts";
import type { Member, QuorumMessage, ReplicaId } from "../quorum/index.ts";
import type { TlsFilesSettings } from "../settings/index.ts";
import type { StoredSnapshot } from "../storage/index.ts";
import {
  CHANNEL_OPTIONS,
  createClientCredentials,
  formatPeerMessage,
  isDialable,
  parsePeerMessage,
  wire,
} from "../wire/index.ts";

/** Maximum number of snapshot bytes in one message. */
const CHUNK_BYTES = 512 * 1024;

/** Bytes buffered for a slow peer; further messages are dropped. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

/** Metadata key of a stream that carries the sender's address. */
const ADDRESS_METADATA_KEY = "crowlever-address";

/** Delay before a broken stream is reopened, in ms. */
const REOPEN_DELAY_MS = 50;

/** Options of {@link createPeerTransport}. */
export interface CreatePeerTransportOptions {
  readonly getClusterId: () => string;
  readonly getSelfId: () => ReplicaId;
  /** Address of a replica; undefined if unknown. */
  readonly getAddress: (id: ReplicaId) => string | undefined;
  readonly deliver: (message: QuorumMessage) => void;
  /**
   * Called with the sender of each received message, including messages that are
   * addressed to another replica.
   */
  readonly onSender?: (id: ReplicaId, address: string) => void;
  readonly readSnapshot: () => Promise<StoredSnapshot | undefined>;
  /** The replica's current term, sent with snapshots. */
  readonly getTerm: () => number;
  readonly now: () => number;
  readonly tls?: TlsFilesSettings;
  readonly log: Logger;
}

/** Sends and receives quorum messages. */
export interface PeerTransport extends AsyncDisposable {
  send(message: QuorumMessage): void;
  sendSnapshot(to: ReplicaId): void;
  readonly handleDeliver: handleClientStreamingCall<
    wire.PeerMessage,
    wire.PeerAck
  >;
}

interface Connection {
  readonly address: string;
  readonly client: wire.PeerClient;
  stream: ClientWritableStream<wire.PeerMessage> | undefined;
  openAfterMs: number;
}

/**
 * Creates the transport between replicas.
 *
 * Messages can be lost when a stream breaks; the quorum protocol tolerates that.
 *
 * @param options - The replica's identity, the peers' addresses, and a callback
 * for received messages.
 * @returns The transport; disposing of it closes its streams.
 * @throws Nothing.
 * @example
 * await using transport = createPeerTransport(options);
 */
export function createPeerTransport(
  options: CreatePeerTransportOptions,
): PeerTransport {
  const { getClusterId, getSelfId, log, now } = options;
  const connections = new Map<ReplicaId, Connection>();
  const foreignSenders = new Set<string>();
  let isClosed = false;

  function getConnection(id: ReplicaId): Connection | undefined {
    const address = options.getAddress(id);
    const existing = connections.get(id);
    if (address === undefined || existing?.address === address) return existing;
    // Builds before this one accepted members without an address.
    if (!isDialable(address)) return undefined;
    existing?.client.close();
    const client = new wire.PeerClient(
      address,
      createClientCredentials(options.tls),
      CHANNEL_OPTIONS,
    );
    const connection = { address, client, stream: undefined, openAfterMs: 0 };
    connections.set(id, connection);
    return connection;
  }

  function openStream(
    connection: Connection,
  ): ClientWritableStream<wire.PeerMessage> | undefined {
    if (connection.stream) return connection.stream;
    if (now() < connection.openAfterMs) return undefined;
    // A client-streaming call reports its end only through the callback.
    const metadata = new Metadata();
    metadata.set(ADDRESS_METADATA_KEY, options.getAddress(getSelfId()) ?? "");
    const stream = connection.client.deliver(metadata, () => {
      if (connection.stream !== stream) return;
      connection.stream = undefined;
      connection.openAfterMs = now() + REOPEN_DELAY_MS;
    });
    stream.on("error", () => {});
    connection.stream = stream;
    return stream;
  }

  function write(to: ReplicaId, message: wire.PeerMessage): boolean {
    // The replica is disposed of after its transport and may still send. A call on
    // a closed client throws, which would end the process with an error code
    // during a planned stop.
    if (isClosed) return false;
    const connection = getConnection(to);
    const stream = connection && openStream(connection);
    if (!stream || stream.writableLength > MAX_BUFFERED_BYTES) return false;
    return stream.write(message);
  }

  async function sendSnapshot(to: ReplicaId): Promise<void> {
    try {
      const snapshot = await options.readSnapshot();
      if (snapshot) sendChunks(to, snapshot);
    } catch (error) {
      // It is sent again for as long as the replica needs it.
      log("snapshotNotSent", { to, error });
    }
  }

  function sendChunks(to: ReplicaId, snapshot: StoredSnapshot): void {
    const { meta, data } = snapshot;
    const bytes = Buffer.from(data, "utf8");
    for (let offset = 0; offset === 0 || offset < bytes.length;) {
      const chunk = bytes.subarray(offset, offset + CHUNK_BYTES);
      write(to, {
        clusterId: getClusterId(),
        from: getSelfId(),
        to,
        term: options.getTerm(),
        body: {
          $case: "snapshotChunk",
          value: {
            index: meta.index,
            term: meta.term,
            members: JSON.stringify(meta.members),
            offsetBytes: offset,
            totalBytes: bytes.length,
            data: chunk,
            sentMs: now(),
          },
        },
      });
      offset += Math.max(1, chunk.length);
    }
    log("snapshotSent", { to, index: meta.index, sizeBytes: bytes.length });
  }

  function isAddressedToSelf(message: wire.PeerMessage): boolean {
    const matches = message.clusterId === getClusterId() &&
      message.to === getSelfId();
    if (!matches && !foreignSenders.has(message.from)) {
      foreignSenders.add(message.from);
      log("foreignPeer", { from: message.from, to: message.to });
    }
    return matches;
  }

  function handleDeliver(
    call: Parameters<PeerTransport["handleDeliver"]>[0],
    done: Parameters<PeerTransport["handleDeliver"]>[1],
  ): void {
    const assembler = createSnapshotAssembler();
    const [fromAddress = ""] = call.metadata.get(ADDRESS_METADATA_KEY).map(
      String,
    );
    let hasFailed = false;

    function receive(message: wire.PeerMessage): void {
      if (fromAddress !== "") options.onSender?.(message.from, fromAddress);
      if (!isAddressedToSelf(message)) return;
      const assembled = parsePeerMessage(message) ?? assembler.add(message);
      if (assembled) options.deliver(assembled);
    }

    call.on("data", (message: wire.PeerMessage) => {
      if (hasFailed) return;
      try {
        receive(message);
      } catch (error) {
        // The sender opens another stream.
        hasFailed = true;
        log("messageFailed", { from: message.from, error });
        done({
          code: status.INVALID_ARGUMENT,
          details: "message can't be handled",
        });
      }
    });
    call.on("end", () => {
      if (!hasFailed) done(null, {});
    });
    call.on("error", () => {});
  }

  return {
    send: (message) => {
      const clusterId = getClusterId();
      write(message.to, formatPeerMessage(message, { clusterId }));
    },
    sendSnapshot: (to) => void sendSnapshot(to),
    handleDeliver,
    async [Symbol.asyncDispose]() {
      isClosed = true;
      await Promise.resolve();
      for (const { client, stream } of connections.values()) {
        stream?.cancel();
        client.close();
      }
    },
  };
}

function createSnapshotAssembler() {
  let chunks: Buffer[] = [];
  let sizeBytes = 0;
  function add(message: wire.PeerMessage): QuorumMessage | undefined {
    if (message.body?.$case !== "snapshotChunk") return undefined;
    const chunk = message.body.value;
    if (chunk.offsetBytes === 0) {
      chunks = [];
      sizeBytes = 0;
    }
    if (chunk.offsetBytes !== sizeBytes) return undefined;
    chunks.push(chunk.data);
    sizeBytes += chunk.data.length;
    if (sizeBytes < chunk.totalBytes) return undefined;
    const { from, to, term } = message;
    const meta = {
      index: chunk.index,
      term: chunk.term,
      members: JSON.parse(chunk.members) as Member[],
    };
    const data = Buffer.concat(chunks).toString("utf8");
    const body = {
      type: "snapshot",
      meta,
      data,
      sentMs: chunk.sentMs,
    } as const;
    return { from, to, term, body };
  }
  return { add };
}
