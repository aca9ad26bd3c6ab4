package dev.windbend.worker;

import dev.windbend.runtime.Json;
import dev.windbend.worker.WorkerMessages.Command;
import java.util.ArrayList;
import java.util.List;

/**
 * The commands of one message to a worker, limited by the size of the message. Once a command does
 * not fit, that one and all later ones are deferred to another message, so that the worker executes
 * the commands in the order in which they were added.
 */
final class CommandBatch {
  /** The longest message without commands: both numbers have the maximum number of digits. */
  private static final String LONGEST_ENVELOPE =
      "{\"baton\":18446744073709551615,\"shift\":18446744073709551615,\"orders\":[]}";

  private static final int SEPARATOR_BYTES = 1;

  private final List<Command> commands = new ArrayList<>();
  private int freeBytes;
  private int deferredCount;

  /**
   * Creates an empty batch.
   *
   * @param maxMessageBytes maximum size of the message in bytes
   */
  CommandBatch(int maxMessageBytes) {
    this.freeBytes = maxMessageBytes - LONGEST_ENVELOPE.length();
  }

  /**
   * Adds the command if it fits.
   *
   * @return false if the command is deferred
   */
  boolean add(Command command) {
    if (deferredCount == 0) {
      int bytes = Json.write(command).length + SEPARATOR_BYTES;
      if (bytes <= freeBytes) {
        freeBytes -= bytes;
        commands.add(command);
        return true;
      }
    }
    deferredCount++;
    return false;
  }

  /** Adds the commands in order, as far as they fit. */
  void addAll(List<Command> added) {
    added.forEach(this::add);
  }

  /** Returns the commands that fit, in the order in which they were added. */
  List<Command> commands() {
    return commands;
  }

  /** Returns how many commands did not fit. */
  int deferredCount() {
    return deferredCount;
  }

  /**
   * Divides the commands among as many messages as they need, in order.
   *
   * @param maxMessageBytes maximum size of each message in bytes
   */
  static List<List<Command>> divide(List<Command> commands, int maxMessageBytes) {
    List<List<Command>> messages = new ArrayList<>();
    CommandBatch batch = new CommandBatch(maxMessageBytes);
    for (Command command : commands) {
      if (!batch.add(command)) {
        messages.add(batch.commands());
        batch = new CommandBatch(maxMessageBytes);
        batch.add(command);
      }
    }
    messages.add(batch.commands());
    return messages;
  }
}
