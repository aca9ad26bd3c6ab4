/**
 * The process: command line, settings files, the wiring of a controller with its HTTP endpoints,
 * and the training run for the JVM's class archive. No other package depends on this one.
 */
package dev.windbend.daemon;
