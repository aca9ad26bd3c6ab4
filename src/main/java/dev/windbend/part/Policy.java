package dev.windbend.part;

/** The design's numbers; operators may set them. */
public record Policy(
    long periodMs,
    boolean roundsOnEvents,
    long blockMs,
    long extensionMs,
    double impliedDue,
    long holdMs,
    boolean dueFromAims,
    double idleHold) {}
