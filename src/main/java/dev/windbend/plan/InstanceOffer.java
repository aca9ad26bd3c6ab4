package dev.windbend.plan;

/**
 * A kind of machine that the cloud may be asked for now.
 *
 * @param kind type, zone and price
 * @param capacity what a machine of this kind has
 * @param bootMs how long it takes to boot
 */
public record InstanceOffer(InstanceKind kind, Resources capacity, long bootMs) {}
