package dev.windbend.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Outgoing calls that a test answers by hand, in any order. */
public final class ManualHttpClient implements HttpClient {
  /** The paths asked, oldest first. */
  public final List<String> paths = new ArrayList<>();

  /** The addresses asked, oldest first. */
  public final List<String> addresses = new ArrayList<>();

  /** Takes the answer to each call, oldest first. */
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
    responseCallbacks.add(done);
  }
}
