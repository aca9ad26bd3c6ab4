package dev.windbend.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** An HTTP client for tests that records calls; the test responds to them in any order. */
public final class ManualHttpClient implements HttpClient {
  /** The paths of the calls, oldest first. */
  public final List<String> paths = new ArrayList<>();

  /** The addresses of the calls, oldest first. */
  public final List<String> addresses = new ArrayList<>();

  /** The bodies of the calls, oldest first. */
  public final List<byte[]> bodies = new ArrayList<>();

  /** The callbacks that receive the responses to the calls, oldest first. */
  public final List<Consumer<ClientResponse>> responseCallbacks = new ArrayList<>();

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<ClientResponse> done) {
    addresses.add(address);
    paths.add(path);
    bodies.add(body);
    responseCallbacks.add(done);
  }
}
