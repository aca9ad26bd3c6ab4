/**
 * The process: command line, settings files, the components of a controller with their HTTP
 * endpoints, and the training run for the JVM's class archive. No other package depends on this
 * one.
 */
package dev.windbend.daemon;
