package dev.windbend.shard;

import dev.windbend.zone.ZonePolicy;

/**
 * The design's numbers; operators may set them.
 *
 * @param takeoverWaitMs for how long the first round after a takeover waits for reports at most
 */
public record Policy(
    long periodMs,
    boolean roundsOnEvents,
    long blockMs,
    double impliedDue,
    long leaseTermMs,
    boolean dueFromAims,
    double idleHold,
    long takeoverWaitMs,
    ZonePolicy zones) {}
