package dev.windbend.peer;

import com.fasterxml.jackson.annotation.JsonProperty;
import dev.windbend.daemon.io.Json;
import dev.windbend.daemon.io.Web;
import dev.windbend.part.Owner;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.IntFunction;

/**
 * Asks the other parts' owners for machines, one after the other. The machines themselves change
 * hands by their records in the state service, so a lost or repeated message does no harm.
 */
public final class Lending implements Owner.Lender {
  public static final String PATH = "/peer/lend";
  private static final long LIMIT_MS = 400;

  private final Web web;
  private final int parts;
  private final IntFunction<String> ownerOf;
  private final Map<String, String> addresses;
  private final Local local;

  /** Lends from a part owned here; -1 if it is not. */
  public interface Local {
    int lend(int from, int to, int count, double has);
  }

  record Ask(
      @JsonProperty("from") int from,
      @JsonProperty("to") int to,
      @JsonProperty("count") int count,
      @JsonProperty("has") double has) {}

  record Given(@JsonProperty("count") int count) {}

  public Lending(
      Web web, int parts, IntFunction<String> ownerOf, Map<String, String> addresses, Local local) {
    this.web = web;
    this.parts = parts;
    this.ownerOf = ownerOf;
    this.addresses = addresses;
    this.local = local;
  }

  @Override
  public void ask(int part, int count, double has, IntConsumer given) {
    next(part, 1, count, 0, has, given);
  }

  private void next(int part, int step, int count, int sofar, double has, IntConsumer given) {
    if (step >= parts || sofar >= count) {
      given.accept(sofar);
      return;
    }
    int from = (part + step) % parts;
    int here = local.lend(from, part, count - sofar, has);
    if (here >= 0) {
      next(part, step + 1, count, sofar + here, has, given);
      return;
    }
    String owner = ownerOf.apply(from);
    String address = owner == null ? null : addresses.get(owner);
    if (address == null) {
      next(part, step + 1, count, sofar, has, given);
      return;
    }
    web.call(
        address,
        "POST",
        PATH,
        Json.write(new Ask(from, part, count - sofar, has)),
        LIMIT_MS,
        reply -> {
          Given g = reply.ok() ? Json.read(reply.body(), Given.class) : null;
          int got = g == null ? 0 : Math.max(0, g.count());
          next(part, step + 1, count, sofar + got, has, given);
        });
  }

  public void serve(Web.Request request, Consumer<Web.Answer> done) {
    Ask a = Json.read(request.body(), Ask.class);
    if (a == null || a.to() < 0 || a.to() >= parts || a.count() < 0 || a.from() == a.to()) {
      done.accept(Web.Answer.bare(400));
      return;
    }
    int given = local.lend(a.from(), a.to(), a.count(), a.has());
    done.accept(Web.Answer.of(200, new Given(Math.max(0, given))));
  }
}
