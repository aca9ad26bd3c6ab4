package dev.windbend.peer;

import dev.windbend.peer.MachineTransferMessages.Reply;
import dev.windbend.peer.MachineTransferMessages.Request;
import dev.windbend.peer.MachineTransferMessages.RoutedRequest;
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

  private static final long CALL_TIMEOUT_MS = 400;

  private final HttpClient httpClient;
  private final int shardCount;
  private final IntFunction<String> leaderOf;
  private final Map<String, String> addresses;
  private final LocalShards localShards;

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
      HttpClient httpClient,
      int shardCount,
      IntFunction<String> leaderOf,
      Map<String, String> addresses,
      LocalShards localShards) {
    this.httpClient = httpClient;
    this.shardCount = shardCount;
    this.leaderOf = leaderOf;
    this.addresses = addresses;
    this.localShards = localShards;
  }

  @Override
  public void request(int shard, Request request, Consumer<Reply> onComplete) {
    requestNext(shard, 1, request, Reply.NONE, onComplete);
  }

  private void requestNext(
      int shard, int step, Request request, Reply total, Consumer<Reply> onComplete) {
    Request remaining = request.remaining(total);
    if (step >= shardCount || remaining == null) {
      onComplete.accept(total);
      return;
    }
    int from = (shard + step) % shardCount;
    Consumer<Reply> onReply =
        reply -> requestNext(shard, step + 1, request, total.plus(reply), onComplete);
    Reply localReply = localShards.transfer(from, shard, remaining);
    if (localReply != null) {
      onReply.accept(localReply);
      return;
    }
    String leader = leaderOf.apply(from);
    String address = leader == null ? null : addresses.get(leader);
    if (address == null) {
      onReply.accept(Reply.NONE);
      return;
    }
    httpClient.call(
        address,
        "POST",
        PATH,
        Json.write(new RoutedRequest(from, shard, remaining)),
        CALL_TIMEOUT_MS,
        response -> {
          Reply remoteReply = response.ok() ? Json.read(response.body(), Reply.class) : null;
          onReply.accept(remoteReply == null ? Reply.NONE : remoteReply);
        });
  }

  /** Answers a request of another controller: 400 if it is malformed, else 200 with the reply. */
  public void handle(ServerRequest request, Consumer<ServerResponse> done) {
    RoutedRequest routed = Json.read(request.body(), RoutedRequest.class);
    if (routed == null || !routed.valid(shardCount)) {
      done.accept(ServerResponse.ofStatus(HttpStatus.BAD_REQUEST));
      return;
    }
    Reply reply = localShards.transfer(routed.from(), routed.to(), routed.request());
    done.accept(ServerResponse.of(HttpStatus.OK, reply == null ? Reply.NONE : reply));
  }
}
