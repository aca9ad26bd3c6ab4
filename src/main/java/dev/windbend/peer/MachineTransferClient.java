package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.runtime.HttpClient;
import dev.windbend.runtime.Json;
import dev.windbend.runtime.ServerRequest;
import dev.windbend.runtime.ServerResponse;
import dev.windbend.shard.MachineRequest;
import dev.windbend.shard.ShardLeader;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntFunction;

/**
 * Asks the other shards' owners for machines, one after the other. The machines themselves change
 * hands by their records in the state service, so a lost or repeated message does no harm.
 */
public final class MachineTransferClient implements ShardLeader.Lender {
  public static final String PATH = "/peer/lend";
  private static final long LIMIT_MS = 400;

  private final HttpClient web;
  private final int shards;
  private final IntFunction<String> ownerOf;
  private final Map<String, String> addresses;
  private final Local local;

  /** Lends from a shard owned here; null if it is not. */
  public interface Local {
    MachineRequest.Reply lend(int from, int to, MachineRequest request);
  }

  record Ask(
      @JsonProperty("from") int from,
      @JsonProperty("to") int to,
      @JsonProperty("request") MachineRequest request) {
    boolean valid(int shards) {
      return request != null && request.count() >= 0 && to >= 0 && to < shards && from != to;
    }
  }

  public MachineTransferClient(
      HttpClient web,
      int shards,
      IntFunction<String> ownerOf,
      Map<String, String> addresses,
      Local local) {
    this.web = web;
    this.shards = shards;
    this.ownerOf = ownerOf;
    this.addresses = addresses;
    this.local = local;
  }

  @Override
  public void ask(int shard, MachineRequest request, Consumer<MachineRequest.Reply> done) {
    next(shard, 1, request, MachineRequest.Reply.NOTHING, done);
  }

  private void next(
      int shard,
      int step,
      MachineRequest request,
      MachineRequest.Reply soFar,
      Consumer<MachineRequest.Reply> done) {
    MachineRequest left = request.remaining(soFar);
    if (step >= shards || left == null) {
      done.accept(soFar);
      return;
    }
    int from = (shard + step) % shards;
    Consumer<MachineRequest.Reply> then =
        reply -> next(shard, step + 1, request, soFar.plus(reply), done);
    MachineRequest.Reply here = local.lend(from, shard, left);
    if (here != null) {
      then.accept(here);
      return;
    }
    String owner = ownerOf.apply(from);
    String address = owner == null ? null : addresses.get(owner);
    if (address == null) {
      then.accept(MachineRequest.Reply.NOTHING);
      return;
    }
    web.call(
        address,
        "POST",
        PATH,
        Json.write(new Ask(from, shard, left)),
        LIMIT_MS,
        reply -> {
          MachineRequest.Reply given =
              reply.ok() ? Json.read(reply.body(), MachineRequest.Reply.class) : null;
          then.accept(given == null ? MachineRequest.Reply.NOTHING : given);
        });
  }

  public void serve(ServerRequest request, Consumer<ServerResponse> done) {
    Ask ask = Json.read(request.body(), Ask.class);
    if (ask == null || !ask.valid(shards)) {
      done.accept(ServerResponse.ofStatus(400));
      return;
    }
    MachineRequest.Reply given = local.lend(ask.from(), ask.to(), ask.request());
    done.accept(ServerResponse.of(200, given == null ? MachineRequest.Reply.NOTHING : given));
  }
}
