package dev.windbend.peer;

import dev.windbend.peer.MachineTransferMessages.Reply;
import dev.windbend.peer.MachineTransferMessages.Request;
import dev.windbend.peer.MachineTransferMessages.Routed;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.HttpStatus;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * Asks the other shards' leaders for machines, one after the other. The machines themselves change
 * hands by their records in the state service, so a lost or repeated message does no harm.
 */
public final class MachineTransferClient implements MachineRequester {
  /** Where a controller takes requests of other controllers. */
  public static final String PATH = "/peer/lend";

  private static final long TIMEOUT_MS = 400;

  private final HttpClient web;
  private final int shards;
  private final IntFunction<String> leaderOf;
  private final Map<String, String> addresses;
  private final LocalShards local;

  /** The shards that this controller leads. */
  public interface LocalShards {
    /**
     * Transfers machines of one shard to another one.
     *
     * @return null: this controller doesn't lead the shard {@code from}
     */
    Reply transfer(int from, int to, Request request);
  }

  /**
   * Makes a client that asks other controllers, and local shards directly.
   *
   * @param leaderOf the name of a shard's leader; null: none is known
   * @param addresses by name of the controller
   */
  public MachineTransferClient(
      HttpClient web,
      int shards,
      IntFunction<String> leaderOf,
      Map<String, String> addresses,
      LocalShards local) {
    this.web = web;
    this.shards = shards;
    this.leaderOf = leaderOf;
    this.addresses = addresses;
    this.local = local;
  }

  @Override
  public void request(int shard, Request request, Consumer<Reply> done) {
    askNext(shard, 1, request, Reply.NONE, done);
  }

  private void askNext(int shard, int step, Request request, Reply soFar, Consumer<Reply> done) {
    Request left = request.remaining(soFar);
    if (step >= shards || left == null) {
      done.accept(soFar);
      return;
    }
    int from = (shard + step) % shards;
    Consumer<Reply> then = reply -> askNext(shard, step + 1, request, soFar.plus(reply), done);
    Reply here = local.transfer(from, shard, left);
    if (here != null) {
      then.accept(here);
      return;
    }
    String leader = leaderOf.apply(from);
    String address = leader == null ? null : addresses.get(leader);
    if (address == null) {
      then.accept(Reply.NONE);
      return;
    }
    web.call(
        address,
        "POST",
        PATH,
        Json.write(new Routed(from, shard, left)),
        TIMEOUT_MS,
        response -> {
          Reply given = response.ok() ? Json.read(response.body(), Reply.class) : null;
          then.accept(given == null ? Reply.NONE : given);
        });
  }

  /** Answers a request of another controller: 400 if it is malformed, else 200 with the reply. */
  public void serve(ServerRequest request, Consumer<ServerResponse> done) {
    Routed routed = Json.read(request.body(), Routed.class);
    if (routed == null || !routed.valid(shards)) {
      done.accept(ServerResponse.ofStatus(HttpStatus.BAD_REQUEST));
      return;
    }
    Reply given = local.transfer(routed.from(), routed.to(), routed.request());
    done.accept(ServerResponse.of(HttpStatus.OK, given == null ? Reply.NONE : given));
  }
}
