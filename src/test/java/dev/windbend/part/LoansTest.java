package dev.windbend.part;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.daemon.io.Json;
import dev.windbend.daemon.io.Loop;
import dev.windbend.daemon.io.Web;
import dev.windbend.machine.Catalog;
import dev.windbend.machine.CloudClient;
import dev.windbend.machine.Directory;
import dev.windbend.machine.Fleet;
import dev.windbend.machine.HireRecord;
import dev.windbend.machine.Machine;
import dev.windbend.store.Stored;
import dev.windbend.store.Unit;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A part with ten busy machines of 8 cores and a guarantee of 40 is asked for machines. */
class LoansTest {
  private static final String TYPES =
      "{\"rigs\":[{\"label\":\"t\",\"cores\":8,\"cards\":0,\"ram_gb\":8,\"cache_gb\":9,"
          + "\"pull_gb_per_s\":1,\"rate\":1,\"low_price\":0.5,\"ready_s\":5,\"yards\":[\"a\"]}]}";

  private final Loop loop =
      new Loop() {
        @Override
        public long nowMs() {
          return 1_000;
        }

        @Override
        public long wallMs() {
          return 1_000;
        }

        @Override
        public Timer after(long delayMs, Runnable task) {
          return () -> {};
        }
      };

  private final Fleet.Host host =
      new Fleet.Host() {
        @Override
        public void touch(Unit unit) {}

        @Override
        public void gone(Machine machine) {}

        @Override
        public void fleetChanged() {}

        @Override
        public boolean mayAct() {
          return true;
        }
      };

  private Fleet fleet;
  private Loans loans;

  @BeforeEach
  void tenMachines() {
    Web web =
        (address, method, path, body, limitMs, done) ->
            done.accept(new Web.Reply(200, TYPES.getBytes(StandardCharsets.UTF_8)));
    CloudClient cloud = new CloudClient(loop, web, "cloud:1", 10, 1);
    Catalog catalog = new Catalog(loop, cloud, List.of("a"));
    catalog.start();
    fleet = new Fleet(loop, cloud, catalog, 0, 7, host);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      names.add("m" + i);
    }
    HireRecord hire = new HireRecord("t", "a", true, 10, names, null);
    Directory directory = new Directory();
    String key = HireRecord.prefix(0) + "h";
    directory.changed(key, new Stored(Json.tree(hire), 5));
    fleet.restore("h", hire, 5, directory, false);
    fleet.machines().forEach(m -> m.confirmed = true);
    loans = new Loans(0, loop, fleet, 40, (part, count, has, given) -> {});
  }

  private long promisedTo(int part) {
    return fleet.machines().stream().filter(m -> m.promisedTo == part).count();
  }

  @ParameterizedTest(name = "asked for {0} by a part that has {1} of its guarantee: {2} promised")
  @CsvSource({
    "3,1.0,0", // has all of it: idle machines only
    "3,0.9,3", "8,0.9,5", // what is above the own guarantee, and no more
    "8,0.4,5", "8,0.0,5",
  })
  void promisesWhatIsAboveItsOwnGuarantee(int count, double has, int promised) {
    assertThat(loans.lend(1, count, has)).isEqualTo(promised);
    assertThat(promisedTo(1)).isEqualTo(promised);
  }

  /** Asked again before they are empty, it names the same ones as coming and promises no more. */
  @Test
  void whatIsPromisedCountsAsComing() {
    assertThat(loans.lend(1, 3, 0.9)).isEqualTo(3);
    assertThat(loans.lend(1, 3, 0.9)).isEqualTo(3);
    assertThat(promisedTo(1)).isEqualTo(3);
  }

  @Test
  void aStarvedPartGetsAShareOfWhatIsNotEnoughForEither() {
    loans = new Loans(0, loop, fleet, 100, (part, count, has, given) -> {});
    assertThat(loans.lend(1, 9, 0.9)).isZero();
    assertThat(loans.lend(1, 9, 0.2)).isEqualTo(3);
  }
}
