/**
 * Streams changes to watchers in order and without gaps, with a bounded buffer for
 * slow readers.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply } from "fastify";
import type { ResourceChange } from "../model/index.ts";
import { getChangesSince, type ResourceState } from "../resources/index.ts";

/** Bytes buffered for a slow watcher before its watch is closed. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Time between two bookmarks of a watch, in ms. */
const BOOKMARK_INTERVAL_MS = 5_000;

/** Options of {@link createWatchHub}. */
export interface CreateWatchHubOptions {
  /** The server; the bookmark timer stops when it closes. */
  readonly server: FastifyInstance;
  readonly getResources: () => ResourceState;
}

/** The open watches. */
export interface WatchHub {
  /**
   * Starts a watch after a revision. If that revision is too old, the client is
   * told to list the resources again (`relist`).
   */
  start(
    reply: FastifyReply,
    from: { kind: string | undefined; since: number },
  ): void;
  publish(change: ResourceChange): void;
  /** Closes all watches; clients resume by revision at another replica. */
  closeAll(): void;
}

interface Watcher {
  readonly reply: FastifyReply;
  readonly kind: string | undefined;
}

/**
 * Creates the hub that manages all watches.
 *
 * @param options - The server and the accepted resources.
 * @returns The hub.
 * @throws Nothing.
 * @example
 * const watches = createWatchHub({ server, getResources });
 */
export function createWatchHub(options: CreateWatchHubOptions): WatchHub {
  const { server, getResources } = options;
  const watchers = new Set<Watcher>();

  function start(
    reply: FastifyReply,
    from: { kind: string | undefined; since: number },
  ): void {
    reply.hijack();
    const { raw } = reply;
    raw.writeHead(200, { "content-type": "application/x-ndjson" });
    raw.flushHeaders();
    const state = getResources();
    const changes = getChangesSince(state, from.since);
    if (!changes) {
      const { revision } = state;
      raw.end(`${JSON.stringify({ type: "relist", revision })}\n`);
      return;
    }
    const watcher = { reply, kind: from.kind };
    for (const missed of changes) writeChange(watcher, missed);
    watchers.add(watcher);
    raw.on("close", () => watchers.delete(watcher));
  }

  function writeChange(watcher: Watcher, change: ResourceChange): void {
    if (watcher.kind !== undefined && watcher.kind !== change.kind) return;
    writeLine(watcher, { type: "change", ...change });
  }

  function writeLine(watcher: Watcher, value: unknown): void {
    const { raw } = watcher.reply;
    if (raw.writableLength > MAX_BUFFERED_BYTES) {
      watchers.delete(watcher);
      raw.destroy();
      return;
    }
    raw.write(`${JSON.stringify(value)}\n`);
  }

  const bookmarks = setInterval(() => {
    const { revision } = getResources();
    for (const watcher of watchers) {
      writeLine(watcher, { type: "bookmark", revision });
    }
  }, BOOKMARK_INTERVAL_MS);
  server.addHook("onClose", (_server, done) => {
    clearInterval(bookmarks);
    done();
  });

  return {
    start,
    publish(change) {
      for (const watcher of watchers) writeChange(watcher, change);
    },
    closeAll() {
      for (const { reply } of watchers) reply.raw.end();
      watchers.clear();
    },
  };
}
