/**
 * Workers, the agents on the machines: reads their heartbeats, reconciles the tasks they report
 * with the tasks that are placed there, and responds with the orders that make up the difference.
 */
package dev.windbend.worker;
