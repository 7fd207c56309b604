"""``python -m standins.model FILE``: simulate days, print a table."""

import fire

from standins.model.experiment import experiment

if __name__ == '__main__':
    fire.Fire(experiment)
