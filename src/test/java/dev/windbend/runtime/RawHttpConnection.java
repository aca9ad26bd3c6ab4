package dev.windbend.runtime;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A TCP connection on which a test sends the bytes of HTTP requests in pieces of its choice. */
public final class RawHttpConnection implements AutoCloseable {
  private static final String HEAD_END = "\r\n\r\n";

  private final Socket socket = new Socket();

  /**
   * A response as received.
   *
   * @param head the status line and the header fields
   */
  public record Response(int status, String head, String body) {
    /** Returns the value of the header field; empty if the response lacks it. */
    public String header(String name) {
      for (String line : head.lines().toList()) {
        if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
          return line.substring(name.length() + 1).trim();
        }
      }
      return "";
    }
  }

  /**
   * Opens a connection.
   *
   * @param readTimeoutMs how long to wait for each part of a response, in milliseconds
   */
  public RawHttpConnection(InetSocketAddress address, int readTimeoutMs) throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(readTimeoutMs);
    socket.connect(address, readTimeoutMs);
  }

  /** Returns the bytes of a request with a Content-Length. */
  public static byte[] request(String method, String path, String body) {
    byte[] bodyBytes = body.getBytes(StandardCharsets.UTF_8);
    String head = method + " " + path + " HTTP/1.1\r\nHost: windbend\r\n";
    return (head + "Content-Length: " + bodyBytes.length + HEAD_END + body)
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the bytes of a request whose body is sent in chunks of the given size. */
  public static byte[] chunkedRequest(String method, String path, String body, int chunkBytes) {
    StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: windbend\r\n");
    text.append("Transfer-Encoding: chunked").append(HEAD_END);
    for (int from = 0; from < body.length(); from += chunkBytes) {
      String chunk = body.substring(from, Math.min(body.length(), from + chunkBytes));
      text.append(Integer.toHexString(chunk.length())).append("\r\n").append(chunk).append("\r\n");
    }
    return text.append("0").append(HEAD_END).toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns the number of bytes before the body of the request. */
  public static int headBytes(byte[] request) {
    return new String(request, StandardCharsets.ISO_8859_1).indexOf(HEAD_END) + HEAD_END.length();
  }

  /** Sends the bytes at once. */
  public void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /**
   * Sends the bytes in pieces, with a pause after each piece.
   *
   * @param boundaries the ascending positions at which a new piece starts, without 0
   */
  public void sendInPieces(byte[] bytes, List<Integer> boundaries, long pauseMs)
      throws IOException, InterruptedException {
    int from = 0;
    for (int boundary : boundaries) {
      socket.getOutputStream().write(bytes, from, boundary - from);
      TimeUnit.MILLISECONDS.sleep(pauseMs);
      from = boundary;
    }
    socket.getOutputStream().write(bytes, from, bytes.length - from);
  }

  /**
   * Reads one response with a Content-Length.
   *
   * @throws IOException if the connection ends before the response is complete
   */
  public Response readResponse() throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith(HEAD_END)) {
      head.write(readByte());
    }
    String headText = head.toString(StandardCharsets.ISO_8859_1);
    Response withoutBody = new Response(Integer.parseInt(headText.substring(9, 12)), headText, "");
    String length = withoutBody.header("Content-Length");
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (body.size() < (length.isEmpty() ? 0 : Integer.parseInt(length))) {
      body.write(readByte());
    }
    return new Response(withoutBody.status(), headText, body.toString(StandardCharsets.UTF_8));
  }

  private int readByte() throws IOException {
    int value = socket.getInputStream().read();
    if (value < 0) {
      throw new IOException("connection closed by the server");
    }
    return value;
  }

  /**
   * Reads until the server ends the connection, and returns all that was received.
   *
   * @throws SocketTimeoutException if the server leaves the connection open
   */
  public String readUntilClosed() throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    try {
      socket.getInputStream().transferTo(received);
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      // A reset ends the connection as well.
    }
    return received.toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns whether the server ends the connection within the read timeout. */
  public boolean awaitClose() throws IOException {
    InputStream input = socket.getInputStream();
    try {
      while (input.read() >= 0) {
        // Bytes of a response are skipped.
      }
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
