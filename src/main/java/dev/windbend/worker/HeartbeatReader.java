package dev.windbend.worker;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import dev.windbend.runtime.Json;
import dev.windbend.worker.WorkerMessages.Heartbeat;
import dev.windbend.worker.WorkerMessages.TaskState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses workers' heartbeats with a streaming parser. Heartbeats are most of the requests that a
 * controller receives. When a controller starts, the heartbeats of all workers arrive at once,
 * before the JIT has compiled the reflective mapping from JSON to records. Unknown fields are
 * ignored, and a missing field is read as null.
 */
public final class HeartbeatReader {
  private HeartbeatReader() {}

  /** Parses a heartbeat; returns null if the bytes do not contain a valid one. */
  public static Heartbeat read(byte[] bytes) {
    try (JsonParser parser = Json.parser(bytes)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return null;
      }
      Heartbeat heartbeat = new HeartbeatFields().readHeartbeat(parser);
      return parser.nextToken() == null && heartbeat.valid() ? heartbeat : null;
    } catch (IOException e) {
      return null;
    }
  }

  /** The fields of one heartbeat that have been read. */
  private static final class HeartbeatFields {
    private String machine;
    private String address;
    private String machineType;
    private String zone;
    private boolean spot;
    private long incarnation;
    private long sequence;
    private long token;
    private Double recallS;
    private List<TaskState> tasks;

    Heartbeat readHeartbeat(JsonParser parser) throws IOException {
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        parser.nextToken();
        readField(name, parser);
      }
      return new Heartbeat(
          machine, address, machineType, zone, spot, incarnation, sequence, token, recallS, tasks);
    }

    private void readField(String name, JsonParser parser) throws IOException {
      switch (name) {
        case "truck" -> machine = text(parser);
        case "addr" -> address = text(parser);
        case "rig" -> machineType = text(parser);
        case "yard" -> zone = text(parser);
        case "standby" -> spot = flag(parser);
        case "shift" -> incarnation = integer(parser);
        case "tally" -> sequence = integer(parser);
        case "baton" -> token = integer(parser);
        case "recall_s" -> recallS = isNull(parser) ? null : parser.getDoubleValue();
        case "drops" -> tasks = isNull(parser) ? null : readTasks(parser);
        default -> parser.skipChildren();
      }
    }
  }

  private static List<TaskState> readTasks(JsonParser parser) throws IOException {
    requireToken(parser.currentToken() == JsonToken.START_ARRAY, parser);
    List<TaskState> tasks = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      requireToken(parser.currentToken() == JsonToken.START_OBJECT, parser);
      tasks.add(readTask(parser));
    }
    return tasks;
  }

  private static TaskState readTask(JsonParser parser) throws IOException {
    String task = null;
    long attempt = 0;
    String state = null;
    String cause = null;
    Boolean checkpointSaved = null;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String name = parser.currentName();
      parser.nextToken();
      switch (name) {
        case "drop" -> task = text(parser);
        case "run" -> attempt = integer(parser);
        case "status" -> state = text(parser);
        case "cause" -> cause = text(parser);
        case "saved" -> checkpointSaved = isNull(parser) ? null : Boolean.valueOf(flag(parser));
        default -> parser.skipChildren();
      }
    }
    return new TaskState(task, attempt, state, cause, checkpointSaved);
  }

  private static String text(JsonParser parser) throws IOException {
    if (isNull(parser)) {
      return null;
    }
    requireToken(parser.currentToken() == JsonToken.VALUE_STRING, parser);
    return parser.getText();
  }

  private static boolean flag(JsonParser parser) throws IOException {
    return !isNull(parser) && parser.getBooleanValue();
  }

  private static long integer(JsonParser parser) throws IOException {
    if (isNull(parser)) {
      return 0;
    }
    requireToken(parser.currentToken() == JsonToken.VALUE_NUMBER_INT, parser);
    return parser.getLongValue();
  }

  private static boolean isNull(JsonParser parser) {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  private static void requireToken(boolean expected, JsonParser parser) throws IOException {
    if (!expected) {
      throw new JsonParseException(parser, "unexpected JSON token " + parser.currentToken());
    }
  }
}
