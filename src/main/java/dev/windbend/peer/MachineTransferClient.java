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
 * Requests machines from the leaders of the other shards, one after another. The transfer of a
 * machine itself is decided by its record in the state service, so a lost or repeated message is
 * harmless.
 */
public final class MachineTransferClient implements MachineRequester {
  /** Path at which a controller accepts transfer requests of other controllers, by POST. */
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
     * Transfers machines from one shard to another.
     *
     * @return null if this controller does not lead the shard {@code from}
     */
    Reply transfer(int from, int to, Request request);
  }

  /**
   * Creates a client that sends requests to other controllers and calls local shards directly.
   *
   * @param leaderOf returns the name of a shard's leader; null if none is known
   * @param addresses addresses of the other controllers, by controller name
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

  /**
   * Handles a request of another controller. Responds with status 400 if the request is malformed,
   * otherwise with status 200 and the reply.
   */
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
