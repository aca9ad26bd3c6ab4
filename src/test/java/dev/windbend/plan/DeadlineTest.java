package dev.windbend.plan;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which time limit of a job counts. */
class DeadlineTest {
  @ParameterizedTest
  @CsvSource({"0,100,false", "60,100,false", "61,150,false", "110,150,false", "111,150,true"})
  void isDueAtTheNextLimitThatCanStillBeMet(double age, double due, boolean hopeless) {
    assertThat(Deadline.nextAttainable(new double[] {100, 150}, age, 40))
        .isEqualTo(new Deadline(due, hopeless));
  }
}
