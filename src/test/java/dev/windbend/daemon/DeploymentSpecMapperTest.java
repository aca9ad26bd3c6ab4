package dev.windbend.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import dev.windbend.shard.DeploymentSpec;
import java.util.List;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class DeploymentSpecMapperTest {
  private static final OptionalDouble NONE = OptionalDouble.empty();

  private static Settings.Objective objective(
      String kind, String jobKind, OptionalDouble withinSeconds, OptionalDouble factor) {
    return new Settings.Objective(kind, jobKind, withinSeconds, factor);
  }

  private static DeploymentSpec map(double listLagSeconds, Settings.Objective... objectives) {
    Settings.Deployment deployment =
        new Settings.Deployment(
            3,
            List.of("a"),
            List.of(new Settings.Team("team", 1, 2, 3, 4)),
            List.of(objectives),
            new Settings.Workers(5, 6, 7),
            new Settings.StateService(8, 9, 1.5, 10),
            new Settings.Cloud(11, listLagSeconds));
    return DeploymentSpecMapper.map(deployment, 4);
  }

  @Test
  void mapsQuotasAndLimits() {
    DeploymentSpec spec = map(12);
    assertThat(spec.teams()).containsExactly(new DeploymentSpec.TeamQuota("team", 1, 2, 3, 4));
    assertThat(spec)
        .isEqualTo(
            new DeploymentSpec(
                spec.teams(),
                4,
                new DeploymentSpec.WorkerTiming(5, 6),
                new DeploymentSpec.CloudLimits(12, 11),
                new DeploymentSpec.StoreLimits(1536, 9),
                spec.objectives()));
    assertThat(map(0.5)).extracting("cloud").isEqualTo(new DeploymentSpec.CloudLimits(1, 11));
  }

  @Test
  void mapsObjectivesByKind() {
    DeploymentSpec.ServiceObjectives objectives =
        map(
                1,
                objective("finished", "train", OptionalDouble.of(30), NONE),
                objective("finished", "train", OptionalDouble.of(10), NONE),
                objective("deadline", "train", NONE, OptionalDouble.of(2)),
                objective("deadline", "train", NONE, OptionalDouble.of(1)),
                objective("wait", "train", OptionalDouble.of(5), NONE),
                objective("wait", "train", OptionalDouble.of(7), NONE),
                objective("wait", "train", OptionalDouble.of(6), NONE),
                objective("guarantee", null, OptionalDouble.of(8), NONE))
            .objectives();
    assertThat(objectives.finishWithinSeconds().get("train")).containsExactly(10, 30);
    assertThat(objectives.deadlineFactors().get("train")).containsExactly(1, 2);
    assertThat(objectives.startWithinSeconds()).containsOnlyKeys("train").containsValue(7.0);
    assertThat(objectives.guaranteedStartSeconds()).isEqualTo(8);
  }

  @Test
  void ignoresObjectivesThatLackWhatTheirKindNeeds() {
    DeploymentSpec.ServiceObjectives objectives =
        map(
                1,
                objective("finished", "train", NONE, OptionalDouble.of(1)),
                objective("finished", null, OptionalDouble.of(1), NONE),
                objective("deadline", "train", OptionalDouble.of(1), NONE),
                objective("wait", null, OptionalDouble.of(1), NONE),
                objective("guarantee", "train", NONE, OptionalDouble.of(1)),
                objective("other", "train", OptionalDouble.of(1), OptionalDouble.of(1)),
                objective(null, null, NONE, NONE))
            .objectives();
    assertThat(objectives.finishWithinSeconds()).isEmpty();
    assertThat(objectives.deadlineFactors()).isEmpty();
    assertThat(objectives.startWithinSeconds()).isEmpty();
    assertThat(objectives.guaranteedStartSeconds()).isZero();
  }
}
