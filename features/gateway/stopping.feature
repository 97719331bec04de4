Feature: What a stop does to callers' connections and requests

  Scenario Outline: A connection in a stop of 6000 ms
    Then <at> ms after SIGTERM a connection that is <phase> gets the decision "<decision>"

    Examples:
      | phase   | at   | decision |
      | unused  | 0    | keep     |
      | unused  | 3700 | keep     |
      | unused  | 4799 | keep     |
      | unused  | 4800 | close    |
      | reading | 4800 | keep     |
      | reading | 5520 | close    |
      | serving | 5519 | keep     |
      | serving | 5520 | cutOff   |
      | sending | 5519 | keep     |
      | sending | 5520 | cutOff   |
      | ending  | 5519 | keep     |
      | ending  | 5520 | close    |

  Scenario Outline: A request in a stop of <stop> ms
    Then <at> ms after SIGTERM of <stop> ms a request of usually <work> ms with <left> ms left is taken: <taken>

    Examples: by its usual work in the first half of the stop, 3000 ms at most; later by its deadline
      | stop  | at   | work | left  | taken |
      | 6000  | 100  | 60   | 500   | yes   |
      | 6000  | 100  | 690  | 20000 | yes   |
      | 6000  | 100  | 1400 | 20000 | no    |
      | 6000  | 100  | 1400 | 5000  | yes   |
      | 6000  | 2900 | 600  | 8000  | yes   |
      | 6000  | 2900 | 700  | 8000  | no    |
      | 6000  | 3001 | 60   | 8000  | no    |
      | 6000  | 3400 | 420  | 8000  | no    |
      | 6000  | 3400 | 420  | 2000  | yes   |
      | 6000  | 5520 | 60   | 500   | no    |
      | 10000 | 2900 | 1000 | 20000 | yes   |
      | 10000 | 3100 | 60   | 20000 | no    |
      | 10000 | 3100 | 60   | 6000  | yes   |
      | 3000  | 1400 | 280  | 2000  | yes   |
      | 3000  | 1600 | 280  | 2000  | no    |
      | 3000  | 1860 | 280  | 800   | yes   |
      | 3000  | 2760 | 60   | 500   | no    |

  Scenario Outline: A request in a stop whose signal is handled late
    Then <at> ms after SIGTERM of 6000 ms that is handled <late> ms late, a request of usually <work> ms with <left> ms left is taken: <taken>

    Examples: the time until the process may be killed counts from the signal
      | at   | late | work | left | taken |
      | 3300 | 500  | 420  | 8000 | no    |
      | 2900 | 500  | 420  | 8000 | yes   |
      | 2900 | 500  | 740  | 8000 | yes   |
      | 2900 | 500  | 750  | 8000 | no    |
      | 3300 | 500  | 420  | 2000 | yes   |
      | 3300 | 500  | 420  | 2500 | yes   |
      | 3300 | 500  | 420  | 2600 | no    |
      | 3300 | 100  | 420  | 2300 | yes   |
      | 3300 | 100  | 420  | 2400 | no    |

  Scenario Outline: A pipelined request in a stop
    Then behind requests that are "<earlier>" it is started in a stop: <started>

    Examples:
      | earlier         | started |
      |                 | yes     |
      | started         | no      |
      | waiting         | no      |
      | started started | no      |

  Scenario Outline: An answer in a stop
    Then an answer before requests that are "<later>" closes its connection in a stop: <closes>

    Examples:
      | later           | closes |
      |                 | yes    |
      | waiting         | yes    |
      | started         | no     |
      | started waiting | no     |
