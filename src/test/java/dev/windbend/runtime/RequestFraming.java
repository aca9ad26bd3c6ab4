package dev.windbend.runtime;

import java.util.List;
import java.util.stream.IntStream;

/** Ways in which the bytes of one request reach a server. */
public enum RequestFraming {
  WHOLE,
  SPLIT_IN_HEAD,
  SPLIT_BEFORE_BODY,
  SPLIT_IN_BODY,
  EACH_BYTE,
  CHUNKED,
  CHUNKED_SPLIT_IN_CHUNK_SIZE,
  CHUNKED_SPLIT_IN_CHUNK,
  CHUNKED_SPLIT_BEFORE_LAST_CHUNK,
  CHUNKED_EACH_BYTE;

  private static final int CHUNK_BYTES = 20;
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private boolean isChunked() {
    return name().startsWith("CHUNKED");
  }

  /** Returns the pause between two pieces, in milliseconds. */
  private long pauseMs() {
    return this == EACH_BYTE || this == CHUNKED_EACH_BYTE ? 1 : 40;
  }

  /** Sends the request on the connection and returns when its last byte was sent. */
  public void send(RawHttpConnection connection, String method, String path, String body)
      throws Exception {
    byte[] bytes =
        isChunked()
            ? RawHttpConnection.chunkedRequest(method, path, body, CHUNK_BYTES)
            : RawHttpConnection.request(method, path, body);
    connection.sendInPieces(bytes, boundaries(bytes), pauseMs());
  }

  private List<Integer> boundaries(byte[] bytes) {
    int headBytes = RawHttpConnection.headBytes(bytes);
    return switch (this) {
      case WHOLE, CHUNKED -> List.of();
      case SPLIT_IN_HEAD -> List.of(headBytes / 2);
      case SPLIT_BEFORE_BODY -> headBytes < bytes.length ? List.of(headBytes) : List.of();
      case SPLIT_IN_BODY -> List.of((headBytes + bytes.length) / 2);
      case CHUNKED_SPLIT_IN_CHUNK_SIZE -> List.of(headBytes + 1);
      case CHUNKED_SPLIT_IN_CHUNK ->
          List.of(Math.min(headBytes + CHUNK_BYTES / 2, bytes.length - 1));
      case CHUNKED_SPLIT_BEFORE_LAST_CHUNK -> List.of(bytes.length - LAST_CHUNK.length());
      case EACH_BYTE, CHUNKED_EACH_BYTE -> IntStream.range(1, bytes.length).boxed().toList();
    };
  }
}
