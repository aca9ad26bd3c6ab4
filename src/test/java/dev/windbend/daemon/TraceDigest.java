package dev.windbend.daemon;

import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;

/**
 * Computes a digest of the messages that the controllers send in one scenario, in the order of
 * sending. For each message, the digest covers the virtual time, sender and receiver, method, path,
 * the timeout of a request or the status and Retry-After of a response, and the bytes of the body.
 * The digest does not depend on names of classes or members, so renaming them does not change it.
 */
final class TraceDigest implements MessageRecorder {
  private static final byte[] NO_BODY = {};

  private final LongSupplier nowMs;
  private final PrintWriter dump;
  private final MessageDigest digest;
  private final Map<String, Integer> messageCounts = new TreeMap<>();
  private int messageCount;

  /**
   * @param nowMs supplies the current virtual time
   * @param dump receives each message as text; null if the messages are not to be written
   */
  TraceDigest(LongSupplier nowMs, PrintWriter dump) {
    this.nowMs = nowMs;
    this.dump = dump;
    try {
      this.digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void requestSent(
      String controller, String address, String method, String path, byte[] body, long timeoutMs) {
    addMessage(
        controller + " -> " + address + " " + method + " " + path + " limit_ms=" + timeoutMs, body);
    countMessage(receiverKind(address) + " " + method + " " + pathPattern(path));
  }

  @Override
  public void responseSent(
      String controller, String requester, ServerRequest request, ServerResponse response) {
    String methodAndPath = request.method() + " " + request.path();
    String status = " status=" + response.status() + " retry_after_s=" + response.retryAfterS();
    addMessage(controller + " => " + requester + " " + methodAndPath + status, response.body());
    countMessage(
        "answer " + request.method() + " " + pathPattern(request.path()) + " " + response.status());
  }

  private void addMessage(String message, byte[] body) {
    byte[] bytes = body == null ? NO_BODY : body;
    String length = body == null ? "none" : Integer.toString(bytes.length);
    String line = nowMs.getAsLong() + " " + message + " body_bytes=" + length + "\n";
    digest.update(line.getBytes(StandardCharsets.UTF_8));
    digest.update(bytes);
    digest.update((byte) '\n');
    messageCount++;
    if (dump != null) {
      dump.print(line);
      dump.println("    " + new String(bytes, StandardCharsets.UTF_8));
    }
  }

  private void countMessage(String kind) {
    messageCounts.merge(kind, 1, Integer::sum);
  }

  private static String receiverKind(String address) {
    if (address.startsWith("state:") || address.startsWith("cloud:")) {
      return SimulatedCluster.hostOf(address);
    }
    return address.startsWith("host-") ? "worker" : "peer";
  }

  /**
   * Removes what differs between jobs, machines and revisions: the query, and each path segment
   * with a digit except {@code v1}, which is replaced by {@code *}.
   */
  private static String pathPattern(String path) {
    String pathWithoutQuery = path.indexOf('?') < 0 ? path : path.substring(0, path.indexOf('?'));
    return pathWithoutQuery.replaceAll("/(?!v1/)[^/]*\\d[^/]*", "/*");
  }

  /** Returns the digest of all recorded messages. No message may be recorded after this call. */
  String finishHex() {
    return HexFormat.of().formatHex(digest.digest());
  }

  int messageCount() {
    return messageCount;
  }

  /**
   * Number of requests by receiver, method and path, and of responses by method, path and status.
   */
  Map<String, Integer> messageCounts() {
    return messageCounts;
  }
}
