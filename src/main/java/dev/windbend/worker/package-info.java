/**
 * Communication with workers, the agents on the machines. The package parses heartbeats, reconciles
 * the reported tasks with the tasks placed on each machine, and responds with commands that bring
 * the machine to the desired state.
 */
package dev.windbend.worker;
