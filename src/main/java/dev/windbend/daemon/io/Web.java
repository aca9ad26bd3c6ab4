package dev.windbend.daemon.io;

import java.util.Map;
import java.util.function.Consumer;

/** Outgoing calls, as the slices see them; answers arrive on the loop. */
public interface Web {
  void call(
      String address, String method, String path, byte[] body, long limitMs, Consumer<Reply> done);

  /** What came back. Status 0: nothing did, so the request may or may not have been executed. */
  record Reply(int status, byte[] body) {
    public static final Reply NONE = new Reply(0, new byte[0]);

    public boolean ok() {
      return status == 200;
    }
  }

  /** An incoming request. */
  record Request(String method, String path, Map<String, String> query, byte[] body) {}

  /** Our answer to an incoming request. */
  record Answer(int status, byte[] body, int retryAfterS) {
    private static final byte[] EMPTY = "{}".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

    public static Answer of(int status, Object message) {
      return new Answer(status, Json.write(message), 0);
    }

    public static Answer bare(int status) {
      return new Answer(status, EMPTY, 0);
    }

    public static Answer later(int seconds) {
      return new Answer(503, EMPTY, seconds);
    }
  }

  /** Handles incoming requests; must call {@code done} once. */
  interface Door {
    void handle(Request request, Consumer<Answer> done);
  }
}
