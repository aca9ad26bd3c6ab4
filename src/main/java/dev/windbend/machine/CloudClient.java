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

/**
 * Client of the cloud API. Every call has a timeout, and all calls together stay within this
 * controller's share of the API's rate limit.
 */
public final class CloudClient {
  private static final long CALL_TIMEOUT_MS = 4_000;
  private static final int MAX_PAGE_ENTRIES = 500;

  /** Sum of the shares of all controllers, as a multiple of the rate limit. */
  private static final double RATE_OVERCOMMIT = 1.6;

  /** Substring of the error text that the cloud sends when it has no instances of a kind. */
  private static final String NO_CAPACITY_MARKER = "no capacity";

  private final EventLoop loop;
  private final HttpClient httpClient;
  private final String address;
  private final TokenBucket rateLimiter;
  private final ArrayDeque<Runnable> queuedCalls = new ArrayDeque<>();

  /** Result of a call that creates instances. */
  enum CreateResult {
    /** Instances were created, possibly fewer than requested. */
    GRANTED,
    /** The cloud has no capacity of this kind; nothing was created. */
    REFUSED,
    /** The cloud rejected the request as invalid; nothing was created. */
    MALFORMED,
    /** No definite response: the request may have been executed; retry it under its name. */
    UNKNOWN
  }

  /** Result of a call that terminates instances. */
  enum ReturnResult {
    /** The instances and all processes on them are confirmed terminated. */
    CONFIRMED,
    /** Not sent, or no definite response: the call may have been executed; retry it. */
    UNKNOWN
  }

  /** Receives the result of a call that creates instances. */
  interface CreateCallback {
    /**
     * Called once, when the call has ended.
     *
     * @param machines names of the instances created; empty unless granted
     */
    void onResult(CreateResult result, List<String> machines);
  }

  /**
   * Creates a client that has made no calls.
   *
   * @param address host and port of the cloud API
   * @param callsPerSecond rate limit of the cloud API, shared by all controllers
   * @param controllerCount number of controllers that share the rate limit
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

  /** Lists the machine types on offer, at least one; empty if the call failed. */
  void listTypes(Consumer<Optional<List<CloudMessages.Type>>> done) {
    call(
        "GET",
        "/machine_types",
        null,
        response ->
            done.accept(
                read(response, CloudMessages.Types.class)
                    .map(CloudMessages.Types::types)
                    .filter(types -> !types.isEmpty())));
  }

  /** Creates instances. The request is idempotent when repeated under the same name. */
  void createInstances(CloudMessages.CreateInstances request, CreateCallback done) {
    call(
        "POST",
        "/hosts",
        Json.write(request),
        response -> {
          Optional<List<String>> names =
              read(response, CloudMessages.InstanceNames.class)
                  .map(CloudMessages.InstanceNames::names);
          if (names.isPresent()) {
            done.onResult(CreateResult.GRANTED, names.get());
          } else {
            done.onResult(createFailure(response), List.of());
          }
        });
  }

  private static CreateResult createFailure(ClientResponse response) {
    if (response.status() == HttpStatus.BAD_REQUEST) {
      return CreateResult.MALFORMED;
    }
    boolean noCapacity =
        response.status() == HttpStatus.SERVICE_UNAVAILABLE
            && new String(response.body(), StandardCharsets.UTF_8).contains(NO_CAPACITY_MARKER);
    return noCapacity ? CreateResult.REFUSED : CreateResult.UNKNOWN;
  }

  /**
   * Terminates instances, at most 100. The cloud API has no fencing tokens, so {@code stillAllowed}
   * is evaluated again immediately before the call is sent: this process may have been suspended
   * while the call was queued, and another leader may use the instances by then.
   */
  void terminateInstances(
      List<String> machines, BooleanSupplier stillAllowed, Consumer<ReturnResult> done) {
    call(
        "POST",
        "/hosts/return",
        Json.write(new CloudMessages.InstanceNames(machines)),
        stillAllowed,
        response -> done.accept(response.ok() ? ReturnResult.CONFIRMED : ReturnResult.UNKNOWN));
  }

  /** Lists all instances page by page; empty if the call for any page failed. */
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
        response -> {
          Optional<CloudMessages.InstancePage> instancePage =
              read(response, CloudMessages.InstancePage.class)
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

  private static <T> Optional<T> read(ClientResponse response, Class<T> type) {
    return response.ok() ? Optional.ofNullable(Json.read(response.body(), type)) : Optional.empty();
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
        response -> {
          if (response.status() == HttpStatus.TOO_MANY_REQUESTS) {
            rateLimiter.slowDown();
          }
          done.accept(response);
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
