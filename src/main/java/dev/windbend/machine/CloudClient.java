package dev.windbend.machine;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.Json;
import dev.windbend.store.TokenBucket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Calls the cloud, each time with a time-out, under this controller's part of its rate limit. */
public final class CloudClient {
  private static final long CALL_TIMEOUT_MS = 4_000;
  private static final int MAX_PAGE_ENTRIES = 500;

  /** What the parts of all controllers add up to, as a multiple of the rate limit. */
  private static final double RATE_OVERCOMMIT = 1.6;

  /** Part of the text by which the cloud says that it lacks machines. */
  private static final String NO_CAPACITY_MARKER = "no capacity";

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final String address;
  private final TokenBucket rateLimiter;
  private final ArrayDeque<Runnable> queuedCalls = new ArrayDeque<>();

  /** How a request for instances ended. */
  enum CreateResult {
    /** Instances were created, perhaps fewer than requested. */
    GRANTED,
    /** The cloud lacks them; nothing was created. */
    REFUSED,
    /** The cloud does not take the request as it is; nothing was created. */
    MALFORMED,
    /** No clear answer: it may have been carried out, and is to be sent again under its name. */
    UNKNOWN
  }

  /** How a return of instances ended. */
  enum ReturnResult {
    /** They and all that was on them are gone. */
    CONFIRMED,
    /** No clear answer, or not sent: it may have been carried out, and is to be sent again. */
    UNKNOWN
  }

  /** Takes the result of a request for instances. */
  interface CreateCallback {
    /** {@code machines}: names of the instances granted. */
    void onResult(CreateResult result, List<String> machines);
  }

  /**
   * A client without calls.
   *
   * @param callsPerSecond rate limit of the cloud, which all controllers share
   */
  public CloudClient(
      EventLoop loop,
      HttpClient httpClient,
      String address,
      double callsPerSecond,
      int controllerCount) {
    this.loop = loop;
    this.httpClient = httpClient;
    this.address = address;
    this.rateLimiter =
        new TokenBucket(loop, callsPerSecond * Math.min(1.0, RATE_OVERCOMMIT / controllerCount));
  }

  /** The machine types on offer, at least one; empty: they could not be had. */
  void listTypes(Consumer<Optional<List<CloudMessages.Type>>> done) {
    call(
        "GET",
        "/machine_types",
        null,
        reply ->
            done.accept(
                read(reply, CloudMessages.Types.class)
                    .map(CloudMessages.Types::types)
                    .filter(types -> !types.isEmpty())));
  }

  /** Requests instances; repeated under the same name, the request is idempotent. */
  void createInstances(CloudMessages.CreateInstances request, CreateCallback done) {
    call(
        "POST",
        "/hosts",
        Json.write(request),
        reply -> {
          Optional<List<String>> names =
              read(reply, CloudMessages.InstanceNames.class)
                  .map(CloudMessages.InstanceNames::names);
          if (names.isPresent()) {
            done.onResult(CreateResult.GRANTED, names.get());
          } else {
            done.onResult(createFailure(reply), List.of());
          }
        });
  }

  private static CreateResult createFailure(ClientResponse reply) {
    if (reply.status() == HttpStatus.BAD_REQUEST) {
      return CreateResult.MALFORMED;
    }
    boolean noCapacity =
        reply.status() == HttpStatus.SERVICE_UNAVAILABLE
            && new String(reply.body(), StandardCharsets.UTF_8).contains(NO_CAPACITY_MARKER);
    return noCapacity ? CreateResult.REFUSED : CreateResult.UNKNOWN;
  }

  /**
   * Returns instances, at most 100. The cloud knows no fencing token, so whether they may still be
   * returned is asked again at the moment of sending: this process may have stood still meanwhile,
   * and another may use them.
   */
  void terminateInstances(
      List<String> machines, BooleanSupplier stillAllowed, Consumer<ReturnResult> done) {
    call(
        "POST",
        "/hosts/return",
        Json.write(new CloudMessages.InstanceNames(machines)),
        stillAllowed,
        reply -> done.accept(reply.ok() ? ReturnResult.CONFIRMED : ReturnResult.UNKNOWN));
  }

  /** All instances, by pages; empty: some page could not be had. */
  void listInstances(Consumer<Optional<List<CloudMessages.Instance>>> done) {
    listPage(null, new ArrayList<>(), done);
  }

  private void listPage(
      String afterName,
      List<CloudMessages.Instance> listed,
      Consumer<Optional<List<CloudMessages.Instance>>> done) {
    call(
        "GET",
        "/hosts?limit=" + MAX_PAGE_ENTRIES + (afterName == null ? "" : "&from=" + afterName),
        null,
        reply -> {
          Optional<CloudMessages.InstancePage> instancePage =
              read(reply, CloudMessages.InstancePage.class)
                  .filter(page -> page.instances() != null);
          if (instancePage.isEmpty()) {
            done.accept(Optional.empty());
            return;
          }
          List<CloudMessages.Instance> page = instancePage.get().instances();
          listed.addAll(page);
          if (instancePage.get().hasMore() && !page.isEmpty()) {
            listPage(page.get(page.size() - 1).name(), listed, done);
          } else {
            done.accept(Optional.of(listed));
          }
        });
  }

  private static <T> Optional<T> read(ClientResponse reply, Class<T> type) {
    return reply.ok() ? Optional.ofNullable(Json.read(reply.body(), type)) : Optional.empty();
  }

  private void call(String method, String path, byte[] body, Consumer<ClientResponse> done) {
    call(method, path, body, () -> true, done);
  }

  private void call(
      String method,
      String path,
      byte[] body,
      BooleanSupplier stillAllowed,
      Consumer<ClientResponse> done) {
    queuedCalls.add(
        () -> {
          if (stillAllowed.getAsBoolean()) {
            send(method, path, body, done);
          } else {
            done.accept(ClientResponse.NO_RESPONSE);
          }
        });
    sendQueued();
  }

  private void send(String method, String path, byte[] body, Consumer<ClientResponse> done) {
    httpClient.call(
        address,
        method,
        path,
        body,
        CALL_TIMEOUT_MS,
        reply -> {
          if (reply.status() == HttpStatus.TOO_MANY_REQUESTS) {
            rateLimiter.slowDown();
          }
          done.accept(reply);
        });
  }

  private void sendQueued() {
    while (!queuedCalls.isEmpty()) {
      long waitMs = rateLimiter.waitMs(1);
      if (waitMs > 0) {
        loop.after(waitMs, this::sendQueued);
        return;
      }
      rateLimiter.take(1);
      queuedCalls.poll().run();
    }
  }
}
