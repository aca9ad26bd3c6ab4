package dev.windbend.daemon;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The platform's settings file. Fields we do not know are ignored. */
public record Settings(
    @JsonProperty("host_name") String node,
    @JsonProperty("domain") String zone,
    @JsonProperty("client_listen") String clientListen,
    @JsonProperty("peer_bind") String peerListen,
    @JsonProperty("seeds") List<Seed> seeds,
    @JsonProperty("services") Services services,
    @JsonProperty("facts") Facts facts) {

  public record Seed(
      @JsonProperty("host_name") String node, @JsonProperty("addr") String address) {}

  public record Services(
      @JsonProperty("cloud") String cloud, @JsonProperty("state") String state) {}

  public record Facts(
      @JsonProperty("size") int nodes,
      @JsonProperty("zones") List<String> zones,
      @JsonProperty("teams") List<Team> teams,
      @JsonProperty("objectives") List<Objective> objectives,
      @JsonProperty("workers") Workers workers,
      @JsonProperty("state") State state,
      @JsonProperty("cloud") Cloud cloud) {}

  /** A guarantee of 0 is none, and so is a limit of 0: a guest team may use what is left over. */
  public record Team(
      @JsonProperty("name") String name,
      @JsonProperty("cpus") double cores,
      @JsonProperty("cpus_max") double coresMost,
      @JsonProperty("gpus") double cards,
      @JsonProperty("gpus_max") double cardsMost) {
    public Team {
      coresMost = coresMost == 0 ? Double.POSITIVE_INFINITY : coresMost;
      cardsMost = cardsMost == 0 ? Double.POSITIVE_INFINITY : cardsMost;
    }
  }

  public record Objective(
      @JsonProperty("kind") String kind,
      @JsonProperty("class") String jobKind,
      @JsonProperty("within_s") Double withinS,
      @JsonProperty("times") Double times) {}

  public record Workers(
      @JsonProperty("report_s") double reportS,
      @JsonProperty("lease_s") double leaseS,
      @JsonProperty("cancel_s") double cancelS) {}

  public record State(
      @JsonProperty("rps") double rps,
      @JsonProperty("write_rps") double writeRps,
      @JsonProperty("value_kb") double valueKb,
      @JsonProperty("txn_ops") int ops) {}

  public record Cloud(
      @JsonProperty("rps") double rps, @JsonProperty("list_lag_s") double listLagS) {}

  /** What is wrong with a settings file, for people. */
  public static final class Invalid extends Exception {
    private static final long serialVersionUID = 1L;

    Invalid(String message) {
      super(message);
    }
  }

  public static Settings read(Path file) throws Invalid {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      throw new Invalid("cannot read " + file + ": " + e.getClass().getSimpleName());
    }
  }

  static Settings parse(String toml) throws Invalid {
    Settings s;
    try {
      s =
          TomlMapper.builder()
              .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
              .build()
              .readValue(toml, Settings.class);
    } catch (MismatchedInputException e) {
      throw new Invalid("wrong type at " + e.getPathReference() + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new Invalid("not TOML: " + e.getMessage());
    }
    s.check();
    return s;
  }

  private void check() throws Invalid {
    need(text(node), "host_name");
    address(clientListen, "client_listen");
    address(peerListen, "peer_bind");
    need(services != null, "services");
    address(services.cloud(), "services.cloud");
    address(services.state(), "services.state");
    need(facts != null, "facts");
    need(facts.nodes() >= 1, "facts.size");
    need(facts.zones() != null && !facts.zones().isEmpty(), "facts.zones");
    need(facts.teams() != null && !facts.teams().isEmpty(), "facts.teams");
    for (Team t : facts.teams()) {
      need(text(t.name()), "facts.teams.name");
      need(t.coresMost() >= t.cores() && t.cores() >= 0, "facts.teams.cpus of " + t.name());
      need(t.cardsMost() >= t.cards() && t.cards() >= 0, "facts.teams.gpus of " + t.name());
    }
    need(facts.workers() != null, "facts.workers");
    need(facts.workers().reportS() > 0, "facts.workers.report_s");
    need(facts.workers().leaseS() > 0, "facts.workers.lease_s");
    need(facts.workers().cancelS() > 0, "facts.workers.cancel_s");
    need(facts.state() != null, "facts.state");
    need(facts.state().rps() > 0, "facts.state.rps");
    need(facts.state().writeRps() > 0, "facts.state.write_rps");
    need(facts.state().ops() >= 2, "facts.state.txn_ops");
    need(facts.cloud() != null && facts.cloud().rps() > 0, "facts.cloud.rps");
    for (Seed p : peers()) {
      need(text(p.node()), "seeds.host_name");
      address(p.address(), "seeds.addr");
    }
  }

  public List<Seed> peers() {
    return seeds == null ? List.of() : seeds;
  }

  public List<Objective> objectives() {
    return facts.objectives() == null ? List.of() : facts.objectives();
  }

  private static boolean text(String s) {
    return s != null && !s.isBlank();
  }

  private static void need(boolean holds, String field) throws Invalid {
    if (!holds) {
      throw new Invalid("missing or invalid: " + field);
    }
  }

  private static void address(String s, String field) throws Invalid {
    int colon = s == null ? -1 : s.lastIndexOf(':');
    boolean ok = colon > 0 && s.substring(colon + 1).matches("[0-9]{1,5}");
    need(ok && Integer.parseInt(s.substring(colon + 1)) <= 65_535, field + " (host:port)");
  }
}
