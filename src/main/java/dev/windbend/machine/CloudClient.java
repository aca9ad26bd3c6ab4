package dev.windbend.machine;

import dev.windbend.runtime.ClientResponse;
import dev.windbend.runtime.EventLoop;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import dev.windbend.store.Rate;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Calls the cloud, each with a time-out, under this node's part of its rate limit. */
public final class CloudClient {
  private static final long LIMIT_MS = 4_000;

  private final EventLoop loop;
  private final HttpClient web;
  private final String address;
  private final Rate rate;
  private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

  /** How a rental request ended. */
  enum Rented {
    GOT,
    REFUSED,
    MALFORMED,
    UNKNOWN
  }

  interface RentalDone {
    void done(Rented how, List<String> machines);
  }

  public CloudClient(EventLoop loop, HttpClient web, String address, double rps, int nodes) {
    this.loop = loop;
    this.web = web;
    this.address = address;
    this.rate = new Rate(loop, rps * Math.min(1.0, 1.6 / nodes));
  }

  void types(Consumer<List<CloudMessages.Type>> done) {
    call(
        "GET",
        "/machine_types",
        null,
        reply -> {
          CloudMessages.Types t =
              reply.ok() ? Json.read(reply.body(), CloudMessages.Types.class) : null;
          done.accept(t == null || t.types() == null || t.types().isEmpty() ? null : t.types());
        });
  }

  void rent(CloudMessages.CreateInstances rental, RentalDone done) {
    call(
        "POST",
        "/hosts",
        Json.write(rental),
        reply -> {
          CloudMessages.Machines m =
              reply.ok() ? Json.read(reply.body(), CloudMessages.Machines.class) : null;
          if (m != null && m.names() != null) {
            done.done(Rented.GOT, m.names());
          } else if (reply.status() == 400) {
            done.done(Rented.MALFORMED, List.of());
          } else if (reply.status() == 503
              && new String(reply.body(), java.nio.charset.StandardCharsets.UTF_8)
                  .contains("no capacity")) {
            done.done(Rented.REFUSED, List.of());
          } else {
            done.done(Rented.UNKNOWN, List.of());
          }
        });
  }

  /**
   * At most 100 names. True: they and all that was on them are gone. The cloud knows no fence, so
   * whether they may still be given back is asked again at the moment of sending: this process may
   * have stood still meanwhile, and another may use them.
   */
  void giveBack(List<String> machines, BooleanSupplier still, Consumer<Boolean> done) {
    call(
        "POST",
        "/hosts/return",
        Json.write(new CloudMessages.Machines(machines)),
        still,
        reply -> done.accept(reply.ok()));
  }

  /** All pages; null if any could not be had. */
  void list(Consumer<List<CloudMessages.Listed>> done) {
    page(null, new ArrayList<>(), done);
  }

  private void page(
      String from, List<CloudMessages.Listed> sofar, Consumer<List<CloudMessages.Listed>> done) {
    call(
        "GET",
        "/hosts?limit=500" + (from == null ? "" : "&from=" + from),
        null,
        reply -> {
          CloudMessages.Listing l =
              reply.ok() ? Json.read(reply.body(), CloudMessages.Listing.class) : null;
          if (l == null || l.machines() == null) {
            done.accept(null);
            return;
          }
          sofar.addAll(l.machines());
          if (l.more() && !l.machines().isEmpty()) {
            page(l.machines().get(l.machines().size() - 1).name(), sofar, done);
          } else {
            done.accept(sofar);
          }
        });
  }

  private void call(String method, String path, byte[] body, Consumer<ClientResponse> done) {
    call(method, path, body, () -> true, done);
  }

  private void call(
      String method,
      String path,
      byte[] body,
      BooleanSupplier still,
      Consumer<ClientResponse> done) {
    queue.add(
        () -> {
          if (!still.getAsBoolean()) {
            done.accept(ClientResponse.NO_RESPONSE);
            return;
          }
          web.call(
              address,
              method,
              path,
              body,
              LIMIT_MS,
              reply -> {
                if (reply.status() == 429) {
                  rate.slowDown();
                }
                done.accept(reply);
              });
        });
    pump();
  }

  private void pump() {
    while (!queue.isEmpty()) {
      long wait = rate.waitMs(1);
      if (wait > 0) {
        loop.after(wait, this::pump);
        return;
      }
      rate.take(1);
      queue.poll().run();
    }
  }
}
