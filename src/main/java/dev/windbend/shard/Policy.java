package dev.windbend.shard;

import dev.windbend.zone.ZonePolicy;

/** The design's numbers; operators may set them. */
public record Policy(
    long periodMs,
    boolean roundsOnEvents,
    long blockMs,
    double impliedDue,
    long leaseTermMs,
    boolean dueFromAims,
    double idleHold,
    ZonePolicy zones) {}
